// Tasks that crash their workers: which runs may have caused a crash, which tasks run apart from
// other jobs, and which jobs are given up.
#include "oleanderhall/scheduling/scheduler.h"

#include <algorithm>

namespace oleanderhall {

namespace {

constexpr int kReadyPercent = 100;
constexpr std::size_t kMaxTasksPerLine = 32; // of a log line, which is cut at 2 KB

/// A task under which so many workers have crashed runs apart from other jobs, so that the next
/// crash shows its cause and costs no one else. Sound tasks rarely meet two crashes, also when many
/// workers fail.
constexpr int kCrashesBeforeIsolation = 2;
/// So many crashes end the job if no other job's task was on the last worker. Two could be due to
/// failures of two racks.
constexpr int kCrashesThatProve = 3;
/// So many crashes end the job also when other jobs ran on each of the workers. The platform allows
/// two starts after the third crash, and a change of owner may lose the count of one crash.
constexpr int kMaxCrashes = 4;
/// How long a task waits for a worker without other jobs. After that it shares one again, so that
/// it starts also in a pool where no worker becomes free.
constexpr Millis kMaxIsolationWait{5000};
constexpr std::size_t kMaxQuarantinedShare = 4; // at most one in so many workers of a pool
/// How long a run keeps its worker to itself. A task that crashes its workers mostly does so when
/// it starts, and a longer time would leave a pool idle in which many tasks are suspected.
constexpr Millis kMaxIsolationTime{2000};

} // namespace

/// Returns whether the run may crash its worker. A long-running task that was ready has proved that
/// it doesn't.
bool Scheduler::mayCrashWorker(const WorkerRun &run)
{
    return !run.isLongRunning || run.progressPercent < kReadyPercent;
}

/// Returns whether the end of the worker was announced, or a host command may have caused it.
bool Scheduler::isEndExpected(const WorkerState &worker, Instant now)
{
    return worker.info.isDraining || worker.isTerminating || now < worker.hostCommandUntil;
}

/// Records that the worker has terminated without notice, before its runs are dropped. Gives up the
/// jobs whose tasks have certainly, or too often, caused such an end.
void Scheduler::onWorkerCrashed(const WorkerState &worker, Instant now)
{
    if (worker.runs.empty() || isEndExpected(worker, now))
        return;
    std::vector<TaskId> suspects;
    std::set<JobId> jobs;
    for (const WorkerRun &run : worker.runs) {
        if (!mayCrashWorker(run))
            continue;
        jobs.insert(run.task.job);
        // A run that is left of an earlier incarnation has counted, and was not sent again since.
        if (worker.isSynced || run.isReported)
            suspects.push_back(run.task);
    }
    std::string tasks;
    for (std::size_t index = 0; index < std::min(suspects.size(), kMaxTasksPerLine); ++index)
        tasks += (tasks.empty() ? "" : " ") + textOf(suspects[index]);
    logDecision({"worker_crashed",
                 {{"worker", worker.info.id.name()},
                  {"runs", std::to_string(worker.runs.size())},
                  {"suspects", std::to_string(suspects.size())},
                  {"tasks", tasks}},
                 true});
    for (const TaskId &id : suspects)
        addCrash(id, jobs.size() == 1, worker, now);
}

/// Counts a crash of `worker` against one of its tasks. `isOnlyJob` tells that no other job's task
/// may have caused it. Crashes of one host may be due to the host, so only the next one elsewhere
/// shows that the task is their cause.
void Scheduler::addCrash(const TaskId &id, bool isOnlyJob, const WorkerState &worker, Instant now)
{
    TrackedTask *task = findTask(id);
    if (!task || task->isDone)
        return;
    TrackedJob &job = m_jobs.at(id.job);
    if (isFinal(job.state))
        return;
    const bool isSameHost = worker.info.id == task->lastCrashWorker
        || (!worker.host.empty() && worker.host == task->lastCrashHost);
    task->lastCrashWorker = worker.info.id;
    task->lastCrashHost = worker.host;
    ++task->crashes;
    if (isSuspected(*task))
        m_suspectTasks.insert(id);
    task->lastCrash = ++job.crashes;
    markDirty(job);
    const bool isCause = isOnlyJob && !isSameHost;
    if (task->crashes < (isCause ? kCrashesThatProve : kMaxCrashes))
        return;
    logDecision({"job_given_up",
                 {{"job", textOf(id.job)},
                  {"task", textOf(id)},
                  {"crashes", std::to_string(task->crashes)},
                  {"worker", worker.info.id.name()}},
                 true});
    finish(job, JobState::Failed, now);
}

/// Returns whether so many workers crashed under the task that it must run apart from other jobs.
bool Scheduler::isSuspected(const TrackedTask &task)
{
    return task.crashes >= kCrashesBeforeIsolation;
}

/// Returns whether the task starts only on workers without tasks of other jobs.
bool Scheduler::isIsolated(const TrackedTask &task, Instant now)
{
    return isSuspected(task)
        && (task.isolationBegin == Instant{} || now - task.isolationBegin < kMaxIsolationWait);
}

/// Limits how long the task, which could start now, waits for a worker of its own.
void Scheduler::beginIsolation(TrackedTask &task, Instant now)
{
    if (isSuspected(task) && task.isolationBegin == Instant{})
        task.isolationBegin = now;
}

/// Returns the pool's jobs with a task that waits for a worker without other jobs.
std::set<JobId> Scheduler::jobsAwaitingIsolation(PoolId pool, Instant now)
{
    std::erase_if(m_suspectTasks, [&](const TaskId &id) {
        const TrackedTask *task = findTask(id);
        return !task || task->isDone || !isSuspected(*task) || isFinal(m_jobs.at(id.job).state);
    });
    std::set<JobId> jobs;
    for (const TaskId &id : m_suspectTasks) {
        const TrackedTask &task = *findTask(id);
        const bool isWaiting = !task.isPlaced && task.isolationBegin != Instant{};
        if (isWaiting && isIsolated(task, now) && m_jobs.at(id.job).spec.queue.pool == pool)
            jobs.insert(id.job);
    }
    return jobs;
}

/// Keeps workers free for tasks that wait to run apart from other jobs: in a busy pool no worker
/// becomes free by itself.
void Scheduler::updateQuarantine(PoolId id, PoolState &pool, Instant now)
{
    if (m_suspectTasks.empty()) {
        pool.quarantine.clear();
        return;
    }
    std::erase_if(pool.quarantine, [&](WorkerId worker) {
        const auto found = m_workers.find(worker);
        return found == m_workers.end() || found->second.info.pool != id
            || !found->second.acceptsNewTasks(now);
    });
    const std::size_t wanted = std::min(jobsAwaitingIsolation(id, now).size(),
                                        pool.workers.size() / kMaxQuarantinedShare);
    while (pool.quarantine.size() > wanted)
        pool.quarantine.erase(pool.quarantine.begin());
    if (pool.quarantine.size() == wanted)
        return;
    std::vector<std::pair<std::ptrdiff_t, WorkerId>> byRuns; // the number of runs to wait for
    for (const WorkerState *worker : pool.workers) {
        if (worker->acceptsNewTasks(now) && !pool.quarantine.contains(worker->info.id))
            byRuns.emplace_back(
                std::count_if(worker->runs.begin(), worker->runs.end(), mayCrashWorker),
                worker->info.id);
    }
    std::sort(byRuns.begin(), byRuns.end());
    for (const auto &[runs, worker] : byRuns) {
        if (pool.quarantine.size() == wanted)
            return;
        pool.quarantine.insert(worker);
    }
}

/// Returns whether a task of the job may run beside `other`.
bool Scheduler::mayRunBeside(const WorkerRun &other, JobId job, bool isIsolated)
{
    return other.task.job == job || !(other.isIsolated || (isIsolated && mayCrashWorker(other)));
}

/// Returns whether the number of crashes under the task is durable as far as its next start depends
/// on it.
bool Scheduler::areCrashesRecorded(const TrackedJob &job, const TrackedTask &task)
{
    return !isSuspected(task) || task.lastCrash <= job.recordedCrashes;
}

/// Ends the isolation of a run that a status lists, once the run has gone on for a while or its
/// long-running task is ready. A ready one has not crashed this worker when it started, so the
/// crashes counted before were not its own.
void Scheduler::updateSuspicion(WorkerRun &run, Instant now)
{
    const bool isReady = run.isLongRunning && !mayCrashWorker(run);
    if (run.isIsolated && (isReady || now - run.runningSince >= kMaxIsolationTime)) {
        run.isIsolated = false;
        m_needsPlacement = true;
    }
    if (!isReady)
        return;
    TrackedTask *task = findTask(run.task);
    if (!task || task->crashes == 0)
        return;
    task->crashes = 0;
    markLazilyDirty(m_jobs.at(run.task.job), now);
}

} // namespace oleanderhall
