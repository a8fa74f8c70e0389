// Copies of stragglers: a second run of a task that takes much longer than its peers, on another
// worker. The first run that ends done counts.
#include "oleanderhall/scheduling/scheduler.h"

#include <algorithm>

namespace oleanderhall {

namespace {

/// Looking for stragglers takes time in proportion to the number of runs.
constexpr Millis kCopyInterval{200};
/// The platform's and the worker's reaction times matter more than the work of a shorter task.
constexpr Millis kMinStragglerTime{400};
/// A run is a straggler after this many times the typical run time. Run times within a step differ
/// by up to a third.
constexpr double kStragglerFactor = 2;
/// A run is a straggler earlier if its progress shows that it will take this many times as long.
constexpr double kPredictedStragglerFactor = 3;
/// The share of the typical run time after which progress is used for that.
constexpr double kMinShareForPrediction = 0.5;
constexpr int kMinPercentForPrediction = 3; // a lower one is too coarse
/// Progress older than this shows nothing, as the run may hang; a poll waits for up to 1.5 s.
constexpr Millis kMaxProgressAge{2000};
/// A copy starts only if the run would take longer than this many times the typical run time yet.
constexpr double kMinRemainingShare = 1;
constexpr int kMinPeers = 3; // with fewer the mean of the peers says too little
/// Copies run at once, as a share of the running tasks of the pool; one is always allowed.
constexpr double kCopyShare = 0.1;
constexpr double kHundredPercent = 100;

double milliseconds(Instant::duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

/// Returns when the run began, or its start was sent if no answer has shown that it runs.
Instant beginOf(const WorkerRun &run)
{
    return run.runningSince == Instant{} ? run.startSent : run.runningSince;
}

} // namespace

/// Returns whether two runs of a task of the step may be active at the same time.
bool Scheduler::allowsCopies(const StepSpec &spec)
{
    return spec.allowsSpeculation && !spec.isGang && !spec.isLongRunning && !spec.usesIdleCores;
}

/// Returns whether a second run of the task can't exceed its limit of failed runs.
bool Scheduler::mayRunTwice(const TrackedJob &job, const StepSpec &spec, const TrackedTask &task)
{
    constexpr int kRunsAtOnce = 2; // both of them may fail
    return allowsCopies(spec) && !isFinal(job.state) && !task.isDone && task.isPlaced
        && task.copyRun == 0 && task.failures + kRunsAtOnce <= job.spec.queue.maxAttempts;
}

/// Returns the run time to expect of a task of the step, from its peers if enough have ended.
double Scheduler::typicalRunTimeMs(const WorkerRun &run, const TrackedStep &step)
{
    const double typical = step.timedTasks >= kMinPeers ? step.totalRunTimeMs / step.timedTasks
                                                        : milliseconds(run.expectedRunTime);
    return std::max(1.0, typical);
}

/// Returns by how many times a run exceeds the typical run time, or will, or 0 if it needs no copy.
double Scheduler::excessOf(const WorkerRun &run, const TrackedStep &step, Instant now)
{
    const double elapsed = milliseconds(now - beginOf(run));
    const double typical = typicalRunTimeMs(run, step);
    const bool hasProgress = run.progressPercent >= kMinPercentForPrediction
        && now - run.lastProgress <= kMaxProgressAge;
    const double predicted = hasProgress
        ? milliseconds(run.lastProgress - run.runningSince) * kHundredPercent / run.progressPercent
        : 0;
    if (hasProgress && predicted - elapsed < kMinRemainingShare * typical)
        return 0; // a copy would hardly end earlier
    if (elapsed > kStragglerFactor * typical)
        return elapsed / typical;
    if (elapsed > kMinShareForPrediction * typical
        && predicted > kPredictedStragglerFactor * typical)
        return predicted / typical;
    return 0;
}

/// Returns the needs of the pool's tasks that wait for the record of their release, or nothing if a
/// released task waits that some worker could run. It may need just the capacity of a copy.
std::optional<Resources> Scheduler::waitingNeeds(const PoolState &pool, Instant now) const
{
    std::optional<Resources> waiting = Resources();
    pool.ranked.forEach([&](const StepPosition &candidate) {
        if (!hasTasksToStart(candidate))
            return true;
        const TrackedJob &job = m_jobs.at(candidate.job);
        const auto index = static_cast<std::size_t>(candidate.step);
        const StepSpec &spec = job.spec.steps[index];
        const auto couldRun = [&](const WorkerState *worker) {
            return worker->acceptsNewTasks(now) && spec.need.fitsInto(worker->info.capacity)
                && (spec.requiredLabel.empty() || worker->info.hasLabel(spec.requiredLabel));
        };
        if (std::none_of(pool.workers.begin(), pool.workers.end(), couldRun))
            return true;
        if (job.isReleaseRecorded) {
            waiting.reset();
            return false;
        }
        const TrackedStep &step = job.occurrences[static_cast<std::size_t>(candidate.occurrence)]
                                      .steps[index];
        const auto tasks = static_cast<std::int64_t>(step.tasks.size()) - step.doneTasks
            - step.placedTasks;
        *waiting += {spec.need.milliCores * tasks, spec.need.memoryMb * tasks,
                     spec.need.gpus * tasks};
        return true;
    });
    return waiting;
}

/// Starts copies of stragglers within the budget and with capacity that no other task waits for.
void Scheduler::placeCopies(PoolState &pool, Instant now, std::vector<SchedulerAction> &out)
{
    if (now < pool.nextCopies)
        return;
    pool.nextCopies = now + kCopyInterval;
    struct Straggler
    {
        double excess = 0;
        const WorkerRun *run = nullptr;
    };
    std::vector<Straggler> stragglers;
    int running = 0;
    int copies = 0;
    for (const WorkerState *worker : pool.workers) {
        for (const WorkerRun &run : worker->runs) {
            running += run.isLongRunning ? 0 : 1;
            if (!run.allowsCopies || (!run.isCopy && now - beginOf(run) < kMinStragglerTime))
                continue;
            const TrackedTask *task = findTask(run.task);
            if (!task || task->currentRun != run.run) {
                copies += run.isCopy ? 1 : 0;
                continue;
            }
            const double excess = excessOf(run, *findStep(run.task), now);
            if (excess > 0)
                stragglers.push_back({excess, &run});
        }
    }
    const std::optional<Resources> waiting = stragglers.empty() ? std::nullopt
                                                                : waitingNeeds(pool, now);
    if (!waiting)
        return;
    std::sort(stragglers.begin(), stragglers.end(),
              [](const Straggler &a, const Straggler &b) { return a.excess > b.excess; });
    Resources free;
    for (const WorkerState *worker : pool.workers) {
        if (worker->acceptsNewTasks(now))
            free += worker->freeCapacity();
    }
    free -= *waiting;
    // A lack of one resource concerns only tasks that need it.
    free = {std::max<std::int64_t>(0, free.milliCores), std::max<std::int64_t>(0, free.memoryMb),
            std::max<std::int64_t>(0, free.gpus)};
    // startRun() may move the runs of a worker.
    std::vector<std::pair<WorkerRun, double>> chosen;
    chosen.reserve(stragglers.size());
    for (const Straggler &straggler : stragglers)
        chosen.emplace_back(*straggler.run, straggler.excess);
    const int budget = std::max(1, static_cast<int>(kCopyShare * running));
    for (const auto &[run, excess] : chosen) {
        if (copies >= budget || !m_startWindow.isOpen())
            return;
        const StepSpec *spec = findSpec(run.task);
        if (spec && spec->need.fitsInto(free) && placeCopy(run, excess, now, out)) {
            free -= spec->need;
            ++copies;
        }
    }
}

/// Starts a copy of the task of `run`. Returns whether it was possible.
bool Scheduler::placeCopy(const WorkerRun &run, double excess, Instant now,
                          std::vector<SchedulerAction> &out)
{
    TrackedJob &job = m_jobs.at(run.task.job);
    const StepSpec &spec = job.spec.steps[static_cast<std::size_t>(run.task.step)];
    TrackedTask &task = *findTask(run.task);
    if (!job.isReleaseRecorded || task.crashes > 0 || task.currentRun != run.run
        || !mayRunTwice(job, spec, task) || !areEarlierRunsKnown(job, task, now))
        return false;
    const auto occurrence = std::find_if(
        job.occurrences.begin(), job.occurrences.end(),
        [&](const Occurrence &entry) { return entry.number == run.task.occurrence; });
    WorkerState *worker = chooseWorker(job, *occurrence, run.task.step, task, now);
    if (!worker || isSlow(*worker, now))
        return false;
    if (!run.checkpoint.empty())
        task.checkpoint = run.checkpoint;
    logDecision({"copy_started",
                 {{"task", textOf(run.task)},
                  {"run", std::to_string(nextRunNumber(task.lastRun))},
                  {"worker", worker->info.id.name()},
                  {"slow_worker", task.worker.name()},
                  {"times_typical", std::to_string(excess)}}});
    startRun(*worker, job, run.task, nextRunNumber(task.lastRun), now, out);
    return true;
}

/// Records a run as the copy of a placed task.
void Scheduler::trackCopy(TrackedTask &task, WorkerRun &run, WorkerId worker)
{
    run.isCopy = true;
    task.copyRun = run.run;
    task.copyWorker = worker;
    task.lastRun = std::max(task.lastRun, run.run);
}

/// Stops the other run of a task of which one run has ended done. The task counts as placed no
/// longer, so that a stop that takes long delays no task of its step.
void Scheduler::endOtherRun(const TaskId &id, TrackedTask &task, Instant now)
{
    if (!task.isPlaced)
        return;
    for (WorkerState *worker : holdersOf(id.job)) {
        for (WorkerRun &run : worker->runs) {
            if (run.task != id || run.phase == WorkerRun::Phase::Stopping)
                continue;
            noteOverdueRun(*worker, run, now);
            requestStop(run, now);
            logDecision({"other_run_stopped",
                         {{"task", textOf(id)},
                          {"run", std::to_string(run.run)},
                          {"worker", worker->info.id.name()},
                          {"copy", run.isCopy ? "true" : "false"}}});
        }
    }
    task.isPlaced = false;
    task.worker = {};
    task.copyRun = 0;
    task.copyWorker = {};
    --findStep(id)->placedTasks;
}

} // namespace oleanderhall
