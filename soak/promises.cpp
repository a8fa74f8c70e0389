#include "promises.h"

#include <algorithm>

namespace oleanderhall::soak {

void Promises::violated(const std::string &what)
{
    m_violations.push_back(what);
}

void Promises::submitted(const JobSpec &job)
{
    m_jobs[job.id].spec = job;
}

void Promises::accepted(JobId id)
{
    m_jobs[id].isAccepted = true;
}

void Promises::refused(JobId id)
{
    m_jobs[id].isRefused = true;
    for (const auto &[task, state] : m_tasks) {
        if (task.job == id && (!state.running.empty() || !state.ends.empty()))
            violated(textOf(id) + " was refused, and has run");
    }
}

void Promises::cancelSent(JobId id)
{
    m_jobs[id].isCancelSent = true;
}

void Promises::told(JobId id, std::optional<JobState> state)
{
    Job &job = m_jobs[id];
    if (!state) {
        violated(textOf(id) + " was accepted, and is said not to exist");
        return;
    }
    if (job.told && isFinal(*job.told) && *state != *job.told)
        violated(textOf(id) + " changed its state after it was over");
    job.told = state;
    if (*state == JobState::Completed) {
        for (int step = 0; step < static_cast<int>(job.spec.steps.size()); ++step) {
            if (!isStepDone(job, step))
                violated(textOf(id) + " is said to be completed, and step " + std::to_string(step)
                         + " is not");
        }
    }
    if (*state == JobState::Cancelled && !job.isCancelSent)
        violated(textOf(id) + " is said to be cancelled, and nobody did");
    if (*state == JobState::Failed) {
        const bool hasCause = std::any_of(m_tasks.begin(), m_tasks.end(), [&](const auto &entry) {
            return entry.first.job == id && entry.second.failures >= job.spec.queue.maxAttempts;
        });
        if (!hasCause)
            violated(textOf(id) + " is said to have failed without cause");
    }
}

bool Promises::isStepDone(const Job &job, int step) const
{
    for (int index = 0; index < job.spec.steps[static_cast<std::size_t>(step)].count; ++index) {
        const auto task = m_tasks.find({job.spec.id, 0, step, index});
        if (task == m_tasks.end() || !task->second.isDone)
            return false;
    }
    return true;
}

void Promises::onRunStarted(const TaskId &id, std::int64_t run, const std::string &worker)
{
    ++m_runs;
    const std::string name = textOf(id) + " run " + std::to_string(run) + " on " + worker;
    const auto found = m_jobs.find(id.job);
    if (found == m_jobs.end() || id.step >= static_cast<int>(found->second.spec.steps.size())
        || id.index >= found->second.spec.steps[static_cast<std::size_t>(id.step)].count) {
        violated(name + " was started, and nobody asked for it");
        return;
    }
    const Job &job = found->second;
    Task &task = m_tasks[id];
    if (job.isRefused)
        violated(name + " was started, and its job was refused");
    for (const auto &[other, where] : task.running) {
        std::string what = name;
        what += " was started while run " + std::to_string(other) + " is at work on " + where;
        violated(what);
    }
    if (task.isDoneNoted)
        violated(name + " was started after its end was noted");
    if (task.failuresNoted >= job.spec.queue.maxAttempts)
        violated(name + " was started after all its attempts had failed");
    for (const int earlier : job.spec.steps[static_cast<std::size_t>(id.step)].after) {
        if (!isStepDone(job, earlier))
            violated(name + " was started before step " + std::to_string(earlier) + " was done");
    }
    task.running[run] = worker;
}

void Promises::onRunEnded(const TaskId &id, std::int64_t run, RunOutcome end)
{
    Task &task = m_tasks[id];
    task.running.erase(run);
    task.ends[run] = end;
    task.isDone = task.isDone || end == RunOutcome::Done;
    task.failures += end == RunOutcome::Failed ? 1 : 0;
}

void Promises::onEndAcknowledged(const TaskId &id, std::int64_t run)
{
    Task &task = m_tasks[id];
    const auto end = task.ends.find(run);
    if (end == task.ends.end())
        return;
    task.isDoneNoted = task.isDoneNoted || end->second == RunOutcome::Done;
    task.failuresNoted += end->second == RunOutcome::Failed ? 1 : 0;
}

bool Promises::areAllOver() const
{
    return openJobs().empty();
}

std::vector<JobId> Promises::openJobs() const
{
    std::vector<JobId> open;
    for (const auto &[id, job] : m_jobs) {
        if (job.isAccepted && !(job.told && isFinal(*job.told)))
            open.push_back(id);
    }
    return open;
}

void Promises::checkEnd()
{
    for (const JobId id : openJobs())
        violated(textOf(id) + " was accepted, and is not over");
    for (const auto &[id, task] : m_tasks) {
        const Job &job = m_jobs[id.job];
        for (const auto &[run, worker] : task.running) {
            if (job.told && isFinal(*job.told))
                violated(textOf(id) + " run " + std::to_string(run) + " works on at " + worker
                         + ", and its job is over");
        }
    }
}

} // namespace oleanderhall::soak
