#include "invariantchecker.h"

#include "oleanderhall/core/clock.h"

#include <algorithm>

namespace oleanderhall::soak {

namespace {

/// The users' limits: how long after a worker's capacity has shrunk, heartbeat included, a start
/// may still rely on the earlier one, and how often a task starts after it has crashed so many
/// workers.
constexpr Millis kResizeGrace{4500};
constexpr int kMaxCrashes = 3;
constexpr int kMaxStartsAfterCrashes = 2;

} // namespace

void InvariantChecker::addViolation(const std::string &what)
{
    m_violations.push_back(what);
}

void InvariantChecker::onSubmitted(const JobSpec &job)
{
    m_jobs[job.id].spec = job;
}

void InvariantChecker::onAccepted(JobId id)
{
    m_jobs[id].isAccepted = true;
}

void InvariantChecker::onRefused(JobId id)
{
    m_jobs[id].isRefused = true;
    for (const auto &[task, state] : m_tasks) {
        if (task.job == id && (!state.running.empty() || !state.outcomes.empty()))
            addViolation(textOf(id) + " was refused but has run");
    }
}

void InvariantChecker::onCancelSent(JobId id)
{
    m_jobs[id].isCancelSent = true;
}

void InvariantChecker::onStateReported(JobId id, std::optional<JobState> state)
{
    Job &job = m_jobs[id];
    if (!state) {
        addViolation(textOf(id) + " was accepted but is reported as not existing");
        return;
    }
    if (job.reportedState && isFinal(*job.reportedState) && *state != *job.reportedState)
        addViolation(textOf(id) + " changed its state after it was final");
    job.reportedState = state;
    if (*state == JobState::Completed) {
        for (int step = 0; step < static_cast<int>(job.spec.steps.size()); ++step) {
            if (!isStepDone(job, step))
                addViolation(textOf(id) + " is reported as completed, but step "
                             + std::to_string(step) + " is not done");
        }
    }
    if (*state == JobState::Cancelled && !job.isCancelSent)
        addViolation(textOf(id) + " is reported as cancelled, but no caller cancelled it");
    if (*state == JobState::Failed) {
        const bool hasCause = job.crashesWorkers
            || std::any_of(m_tasks.begin(), m_tasks.end(), [&](const auto &entry) {
                                  return entry.first.job == id
                                      && entry.second.failures >= job.spec.queue.maxAttempts;
                              });
        if (!hasCause)
            addViolation(textOf(id)
                         + " is reported as failed, but no task failed in all its attempts");
    }
}

bool InvariantChecker::isStepDone(const Job &job, int step) const
{
    for (int index = 0; index < job.spec.steps[static_cast<std::size_t>(step)].count; ++index) {
        const auto task = m_tasks.find({job.spec.id, 0, step, index});
        if (task == m_tasks.end() || !task->second.isDone)
            return false;
    }
    return true;
}

void InvariantChecker::onRunStarted(const TaskId &id, std::int64_t run, const std::string &worker)
{
    ++m_runs;
    const std::string name = textOf(id) + " run " + std::to_string(run) + " on " + worker;
    const auto found = m_jobs.find(id.job);
    if (found == m_jobs.end() || id.step >= static_cast<int>(found->second.spec.steps.size())
        || id.index >= found->second.spec.steps[static_cast<std::size_t>(id.step)].count) {
        addViolation(name + " was started, but no submitted job has this task");
        return;
    }
    const Job &job = found->second;
    Task &task = m_tasks[id];
    if (job.isRefused)
        addViolation(name + " was started, but its job was refused");
    for (const auto &[otherRun, otherWorker] : task.running) {
        std::string what = name;
        what += " was started while run " + std::to_string(otherRun) + " runs on " + otherWorker;
        addViolation(what);
    }
    if (task.isDoneAcknowledged)
        addViolation(name + " was started after its completion was acknowledged");
    if (task.acknowledgedFailures >= job.spec.queue.maxAttempts)
        addViolation(name + " was started after all its attempts had failed");
    for (const int dependency : job.spec.steps[static_cast<std::size_t>(id.step)].after) {
        if (!isStepDone(job, dependency))
            addViolation(name + " was started before step " + std::to_string(dependency)
                         + " was done");
    }
    if (job.crashesWorkers && task.crashes >= kMaxCrashes
        && ++task.startsAfterCrashes > kMaxStartsAfterCrashes)
        addViolation(name + " was started after " + std::to_string(task.crashes)
                     + " workers had crashed under the task");
    task.running[run] = worker;
    checkCapacity(name, worker);
    const StepSpec &step = job.spec.steps[static_cast<std::size_t>(id.step)];
    if (step.isLongRunning)
        m_availability.onRunStarted(id, step, worker);
}

void InvariantChecker::onWorkerResized(const std::string &worker, std::int64_t milliCores)
{
    m_capacities[worker].emplace_back(monotonicNow(), milliCores);
}

/// Records a violation if the worker has more running than it could hold at any time within the
/// grace time.
void InvariantChecker::checkCapacity(const std::string &start, const std::string &worker)
{
    std::int64_t used = 0;
    for (const auto &[id, task] : m_tasks) {
        const auto isHere = [&](const auto &run) { return run.second == worker; };
        if (std::any_of(task.running.begin(), task.running.end(), isHere))
            used += m_jobs.at(id.job).spec.steps[static_cast<std::size_t>(id.step)].need.milliCores;
    }
    const auto &capacities = m_capacities[worker];
    std::int64_t highest = 0;
    for (std::size_t index = 0; index < capacities.size(); ++index) {
        if (index + 1 == capacities.size()
            || monotonicNow() - capacities[index + 1].first < kResizeGrace)
            highest = std::max(highest, capacities[index].second);
    }
    if (used > highest)
        addViolation(start + " brought the worker to " + std::to_string(used)
                     + " millicores of at most " + std::to_string(highest));
}

void InvariantChecker::checkCommand(const TaskId &id)
{
    const auto violation = m_availability.onCommand(id);
    if (violation && !m_jobs[id.job].isCancelSent)
        addViolation(*violation);
}

void InvariantChecker::onHostCommand(const std::string &worker)
{
    for (const TaskId &task : m_availability.tasksOn(worker))
        checkCommand(task);
}

void InvariantChecker::onRunEnded(const TaskId &id, std::int64_t run, RunOutcome outcome)
{
    Task &task = m_tasks[id];
    const auto running = task.running.find(run);
    if (outcome == RunOutcome::Stopped && running != task.running.end()
        && !(m_delayTest && m_delayTest(running->second)))
        checkCommand(id);
    m_availability.onRunEnded(id);
    task.running.erase(run);
    task.outcomes[run] = outcome;
    task.isDone = task.isDone || outcome == RunOutcome::Done;
    task.failures += outcome == RunOutcome::Failed ? 1 : 0;
}

void InvariantChecker::onEndAcknowledged(const TaskId &id, std::int64_t run)
{
    Task &task = m_tasks[id];
    const auto outcome = task.outcomes.find(run);
    if (outcome == task.outcomes.end())
        return;
    task.isDoneAcknowledged = task.isDoneAcknowledged || outcome->second == RunOutcome::Done;
    task.acknowledgedFailures += outcome->second == RunOutcome::Failed ? 1 : 0;
}

bool InvariantChecker::areAllJobsFinished() const
{
    return unfinishedJobs().empty();
}

std::vector<JobId> InvariantChecker::unfinishedJobs() const
{
    std::vector<JobId> unfinished;
    for (const auto &[id, job] : m_jobs) {
        if (job.isAccepted && !(job.reportedState && isFinal(*job.reportedState)))
            unfinished.push_back(id);
    }
    return unfinished;
}

void InvariantChecker::checkFinalState()
{
    for (const JobId id : unfinishedJobs())
        addViolation(textOf(id) + " was accepted but is not finished");
    for (const auto &[id, task] : m_tasks) {
        const Job &job = m_jobs[id.job];
        for (const auto &[run, worker] : task.running) {
            if (job.reportedState && isFinal(*job.reportedState))
                addViolation(textOf(id) + " run " + std::to_string(run) + " still runs on " + worker
                             + " after its job finished");
        }
    }
}

} // namespace oleanderhall::soak
