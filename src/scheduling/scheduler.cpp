#include "oleanderhall/scheduling/scheduler.h"

#include <algorithm>

namespace oleanderhall {

namespace {

/// A worker usually confirms a start within a few milliseconds. A job whose first start is not
/// confirmed after this time has probably not begun.
constexpr Millis kStartConfirmationTime{1000};

std::string textOf(Millis time)
{
    return std::to_string(time.count());
}

} // namespace

Scheduler::Scheduler(SchedulerSettings settings, std::int64_t generation, Instant now)
    : m_settings(settings)
    , m_generation(generation)
    , m_termStart(now)
    , m_rateLimiter(settings.teamRateWindow)
{}

void Scheduler::setQueues(ConfigVersion version, const std::vector<QueueConfig> &queues)
{
    if (version < m_version)
        return;
    m_version = version;
    m_queues.clear();
    for (const QueueConfig &queue : queues)
        m_queues[queue.name] = queue;
    for (auto &[id, job] : m_jobs) {
        const auto found = m_queues.find(job.spec.queue.name);
        if (found != m_queues.end() && job.spec.config <= version)
            setQueue(job, found->second);
    }
    groupJobsByPool();
    m_needsPlacement = true;
}

/// Replaces the configuration of the job's queue. If the queue has got another pool, the job must
/// be released again before its tasks start there: a later owner searches only the workers of the
/// pools that the job's record names.
void Scheduler::setQueue(TrackedJob &job, const QueueConfig &queue)
{
    const PoolId earlier = job.spec.queue.pool;
    job.spec.queue = queue;
    if (queue.pool == earlier || isFinal(job.state))
        return;
    const auto known = std::find(job.earlierPools.begin(), job.earlierPools.end(), earlier);
    if (job.isReleased && known == job.earlierPools.end())
        job.earlierPools.push_back(earlier);
    job.isReleased = false;
    job.isReleaseInBatch = false;
    job.isReleaseRecorded = false;
    logDecision({"job_pool_changed",
                 {{"job", textOf(job.spec.id)},
                  {"queue", queue.name},
                  {"from", earlier.name()},
                  {"to", queue.pool.name()}}});
}

void Scheduler::setWorkers(const std::vector<WorkerInfo> &workers, Instant now)
{
    for (auto &[id, worker] : m_workers)
        worker.isListed = false;
    for (const WorkerInfo &info : workers) {
        auto found = m_workers.find(info.id);
        if (found == m_workers.end()) {
            found = m_workers.emplace(info.id, WorkerState(info, m_settings.clockDrift)).first;
            found->second.nextPoll = now;
            found->second.listedAt = now;
            logDecision({"worker_listed",
                         {{"worker", info.id.name()},
                          {"pool", info.pool.name()},
                          {"address", info.address}}});
        }
        WorkerState &worker = found->second;
        worker.isListed = true;
        if (!noteIncarnation(worker, info.started, now))
            continue;
        if (worker.info.isDraining != info.isDraining) {
            logDecision({"worker_draining", {{"worker", info.id.name()}}});
        }
        if (worker.info.pool != info.pool) {
            for (const WorkerRun &run : worker.runs) {
                removeUsage(worker.info.pool, run);
                addUsage(info.pool, run);
            }
        }
        const WorkerStartTime started = worker.info.started; // the entry may lack it
        worker.info = info;
        worker.info.started = started;
    }
    std::erase_if(m_workers, [](const auto &entry) {
        return !entry.second.isListed && entry.second.runs.empty()
            && (entry.second.hasTerminated || !entry.second.isSynced);
    });
    groupWorkersByPool();
    m_nextPossibleCount = {};
    m_needsPlacement = true;
}

void Scheduler::addJob(JobSpec spec, const JobProgress &progress, bool isInherited,
                       Instant accepted)
{
    const JobId id = spec.id;
    if (const auto known = m_jobs.find(id); known != m_jobs.end()) {
        if (known->second.isWithdrawn)
            recordWithdrawn(known->second, std::move(spec));
        return;
    }
    TrackedJob &job = m_jobs[id];
    job.spec = std::move(spec);
    job.state = progress.state;
    job.accepted = accepted;
    // An owner that does not know yet that it was replaced may go on starting new jobs for a
    // while.
    job.isInherited = isInherited || accepted - m_termStart < m_settings.takeoverOverlap;
    job.inheritedProgress = progress.tasks;
    job.hasBegun = progress.state == JobState::Running || !progress.tasks.empty();
    job.acceptedPool = job.spec.queue.pool;
    const auto queue = m_queues.find(job.spec.queue.name);
    if (queue != m_queues.end() && job.spec.config <= m_version)
        job.spec.queue = queue->second;
    restoreReleases(job, progress);
    if (!job.spec.team.empty())
        m_newTeamJobs.push_back(id);
    job.inheritedRunning = progress.stillRunning;
    const bool mayStillRun = isFinal(job.state) ? progress.stillRunning != Resources()
                                                : job.isInherited && job.mayHaveStarted();
    if (mayStillRun && !job.spec.team.empty()) {
        m_possiblyStarted.push_back(id);
        m_nextPossibleCount = {};
    }
    if (isFinal(job.state)) {
        job.ended = accepted;
        indexEnded(job);
        return;
    }
    m_active.insert(id);
    m_pools[job.spec.queue.pool].jobs.insert(id);
    noteTasksToStart(id);
    if (job.spec.occurrences > 0)
        m_recurring.insert(id);
    if (job.spec.occurrences == 0) {
        openOccurrence(job, 0);
        if (!job.isLongRunning()) {
            const double work = remainingWork(job, &job.occurrences[0]);
            m_runTimes.observeWork(job.spec.queue.name, work);
            m_arrivals[job.spec.queue.pool].add(work, accepted);
        }
    }
    logDecision({"job_accepted",
                 {{"job", textOf(id)},
                  {"queue", job.spec.queue.name},
                  {"steps", std::to_string(job.spec.steps.size())},
                  {"priority", std::to_string(job.spec.queue.priority)},
                  {"config", std::to_string(job.spec.config.value)},
                  {"long_running", job.isLongRunning() ? "true" : "false"},
                  {"inherited", isInherited ? "true" : "false"}}});
    m_needsPlacement = true;
}

void Scheduler::openOccurrence(TrackedJob &job, int number)
{
    Occurrence occurrence{.number = number};
    for (const StepSpec &step : job.spec.steps) {
        TrackedStep trackedStep;
        trackedStep.tasks.resize(static_cast<std::size_t>(step.count));
        for (TrackedTask &task : trackedStep.tasks) {
            task.mayRunOnUnsyncedWorker = job.isInherited && job.mayHaveStarted();
        }
        occurrence.steps.push_back(std::move(trackedStep));
    }
    for (const TaskProgress &known : job.inheritedProgress) {
        if (known.occurrence != number || known.step < 0
            || known.step >= static_cast<int>(occurrence.steps.size()))
            continue;
        TrackedStep &step = occurrence.steps[static_cast<std::size_t>(known.step)];
        if (known.index < 0 || known.index >= static_cast<int>(step.tasks.size()))
            continue;
        TrackedTask &task = step.tasks[static_cast<std::size_t>(known.index)];
        task.failures = known.failures;
        task.crashes = known.crashes;
        if (known.crashes > 0)
            m_suspectTasks.insert({job.spec.id, number, known.step, known.index});
        task.endedRuns = known.endedRuns;
        for (const std::int64_t run : known.endedRuns)
            task.lastRun = std::max(task.lastRun, run);
        task.checkpoint = known.checkpoint;
        task.isDone = known.isDone;
        step.doneTasks += known.isDone ? 1 : 0;
        step.gangFailures += known.failures;
    }
    job.occurrences.push_back(std::move(occurrence));
}

void Scheduler::openOccurrences(std::int64_t wallClockMs)
{
    for (const JobId id : m_recurring) {
        TrackedJob &job = m_jobs.at(id);
        while (static_cast<int>(job.occurrences.size()) < job.spec.occurrences) {
            const auto next = static_cast<int>(job.occurrences.size());
            if (wallClockMs < job.spec.firstDueMs + next * job.spec.intervalMs)
                break;
            openOccurrence(job, next);
            noteTasksToStart(id);
            m_needsPlacement = true;
        }
    }
}

void Scheduler::cancel(JobId id, Instant now)
{
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end()) {
        addWithdrawn(id, now);
        return;
    }
    if (found->second.isCancelled || isFinal(found->second.state))
        return;
    TrackedJob &job = found->second;
    job.isCancelled = true;
    logDecision({"job_cancelled", {{"job", textOf(id)}, {"queue", job.spec.queue.name}}});
    finish(job, JobState::Cancelled, now);
}

/// Adds a job that was cancelled while it wasn't stored, so that its records are deleted in time.
void Scheduler::addWithdrawn(JobId id, Instant now)
{
    TrackedJob &job = m_jobs[id];
    job.spec.id = id;
    job.state = JobState::Cancelled;
    job.isCancelled = true;
    job.isWithdrawn = true;
    job.ended = now;
    indexEnded(job);
    logDecision({"job_withdrawn", {{"job", textOf(id)}}});
}

/// Records the end of a job that was stored after all: a list that is read page by page may show
/// the cancellation without the job.
void Scheduler::recordWithdrawn(TrackedJob &job, JobSpec spec)
{
    job.spec = std::move(spec);
    job.isWithdrawn = false;
    markDirty(job);
}

void Scheduler::cordon(const std::set<WorkerId> &workers)
{
    for (auto &[id, worker] : m_workers) {
        const bool isCordoned = workers.contains(id);
        m_needsPlacement = m_needsPlacement || worker.isCordoned != isCordoned;
        worker.isCordoned = isCordoned;
    }
}

void Scheduler::setTerminating(WorkerId worker, bool isTerminating, Instant now)
{
    const auto found = m_workers.find(worker);
    if (found == m_workers.end())
        return;
    found->second.isTerminating = isTerminating;
    if (!isTerminating)
        distrustRuns(worker, now);
    m_needsPlacement = true;
}

void Scheduler::distrustRuns(WorkerId worker, Instant until)
{
    const auto found = m_workers.find(worker);
    if (found == m_workers.end())
        return;
    WorkerState &state = found->second;
    state.distrustedUntil = std::max(state.distrustedUntil, until);
    state.hostCommandUntil = std::max(state.hostCommandUntil, until);
}

void Scheduler::onWorkerTerminated(WorkerId worker, Instant requested, Instant now)
{
    const auto found = m_workers.find(worker);
    if (found == m_workers.end() || found->second.restartedAt >= requested)
        return;
    found->second.hasTerminated = true;
    dropAllRuns(found->second, "maintenance", now);
}

void Scheduler::finish(TrackedJob &job, JobState state, Instant now)
{
    job.state = state;
    job.ended = now;
    m_active.erase(job.spec.id);
    m_recurring.erase(job.spec.id);
    PoolState &pool = m_pools[job.spec.queue.pool];
    pool.jobs.erase(job.spec.id);
    pool.startable.erase(job.spec.id);
    m_tickets.removeJob(job.spec.id);
    stopJob(job, now);
    markDirty(job);
    const auto took = std::chrono::duration_cast<Millis>(now - job.accepted);
    logDecision({"job_ended",
                 {{"job", textOf(job.spec.id)},
                  {"queue", job.spec.queue.name},
                  {"outcome",
                   state == JobState::Completed    ? "completed"
                       : state == JobState::Failed ? "failed"
                                                   : "cancelled"},
                  {"took_ms", textOf(took)}},
                 false,
                 took});
}

void Scheduler::stopJob(TrackedJob &job, Instant now)
{
    for (WorkerState *worker : holdersOf(job.spec.id)) {
        for (WorkerRun &run : worker->runs) {
            if (run.task.job == job.spec.id)
                requestStop(run, now);
        }
    }
}

void Scheduler::finishIfComplete(TrackedJob &job, Instant now)
{
    if (isFinal(job.state)
        || static_cast<int>(job.occurrences.size()) < std::max(1, job.spec.occurrences))
        return;
    for (const Occurrence &occurrence : job.occurrences) {
        for (const TrackedStep &step : occurrence.steps) {
            if (!step.isComplete())
                return;
        }
    }
    finish(job, JobState::Completed, now);
}

void Scheduler::markDirty(TrackedJob &job)
{
    job.isDirty = true;
    job.isRecorded = false;
    indexEnded(job);
    m_dirty.insert(job.spec.id);
}

void Scheduler::markLazilyDirty(TrackedJob &job, Instant now)
{
    if (!job.isDirty && !job.isLazilyDirty) {
        job.isLazilyDirty = true;
        job.lazilyDirtySince = now;
    }
    m_dirty.insert(job.spec.id);
}

TrackedTask *Scheduler::findTask(const TaskId &id)
{
    TrackedStep *step = findStep(id);
    if (!step || id.index < 0 || id.index >= static_cast<int>(step->tasks.size()))
        return nullptr;
    return &step->tasks[static_cast<std::size_t>(id.index)];
}

TrackedStep *Scheduler::findStep(const TaskId &id)
{
    return const_cast<TrackedStep *>(std::as_const(*this).findStep(id));
}

const TrackedStep *Scheduler::findStep(const TaskId &id) const
{
    const auto found = m_jobs.find(id.job);
    if (found == m_jobs.end())
        return nullptr;
    for (const Occurrence &occurrence : found->second.occurrences) {
        if (occurrence.number == id.occurrence && id.step >= 0
            && id.step < static_cast<int>(occurrence.steps.size()))
            return &occurrence.steps[static_cast<std::size_t>(id.step)];
    }
    return nullptr;
}

const StepSpec *Scheduler::findSpec(const TaskId &id) const
{
    const auto found = m_jobs.find(id.job);
    if (found == m_jobs.end() || id.step < 0
        || id.step >= static_cast<int>(found->second.spec.steps.size()))
        return nullptr;
    return &found->second.spec.steps[static_cast<std::size_t>(id.step)];
}

void Scheduler::logDecision(Decision decision)
{
    m_decisions.push_back(std::move(decision));
}

std::vector<Decision> Scheduler::takeDecisions()
{
    return std::exchange(m_decisions, {});
}

std::vector<QueueLoad> Scheduler::queueLoads(Instant now) const
{
    std::map<std::string, QueueLoad> loads;
    for (const JobId id : m_active) {
        const TrackedJob &job = m_jobs.at(id);
        QueueLoad &load = loads[job.spec.queue.name];
        load.queue = job.spec.queue.name;
        if (job.spec.occurrences > 0)
            continue;
        const bool isUnconfirmed = job.state == JobState::Running && !job.hasBegun;
        if (job.state == JobState::Queued
            || (isUnconfirmed && now - job.firstStart > kStartConfirmationTime))
            ++load.waitingJobs;
        load.unconfirmedJobs += isUnconfirmed ? 1 : 0;
    }
    std::vector<QueueLoad> result;
    result.reserve(loads.size());
    for (auto &[name, load] : loads)
        result.push_back(std::move(load));
    return result;
}

/// Sets for which pools the job was released, as its stored progress shows.
void Scheduler::restoreReleases(TrackedJob &job, const JobProgress &progress)
{
    if (!progress.isReleased)
        return;
    std::vector<PoolId> pools = progress.releasedPools;
    if (pools.empty())
        pools.push_back(job.acceptedPool);
    const bool isReleased = std::erase(pools, job.spec.queue.pool) > 0;
    job.isReleased = isReleased;
    job.isReleaseRecorded = isReleased;
    job.earlierPools = std::move(pools);
}

/// Returns JobProgress::releasedPools of the job.
std::vector<PoolId> Scheduler::releasedPoolsOf(const TrackedJob &job)
{
    std::vector<PoolId> pools = job.earlierPools;
    if (job.isReleased && std::find(pools.begin(), pools.end(), job.spec.queue.pool) == pools.end())
        pools.push_back(job.spec.queue.pool);
    if (pools == std::vector<PoolId>{job.acceptedPool})
        pools.clear();
    return pools;
}

JobProgress Scheduler::progressOf(const TrackedJob &job) const
{
    JobProgress progress{.id = job.spec.id,
                         .state = job.state,
                         .team = job.spec.team,
                         .acceptedMs = job.spec.acceptedMs,
                         .isReleased = job.mayHaveStarted(),
                         .releasedPools = releasedPoolsOf(job)};
    if (job.state == JobState::Running && !job.hasBegun)
        progress.state = JobState::Queued; // callers are told so
    if (isFinal(job.state)) {
        if (!job.spec.team.empty())
            progress.stillRunning = heldBy(job);
        return progress;
    }
    for (const Occurrence &occurrence : job.occurrences) {
        for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
            const auto &tasks = occurrence.steps[step].tasks;
            for (std::size_t index = 0; index < tasks.size(); ++index) {
                const TrackedTask &task = tasks[index];
                if (!task.isDone && task.endedRuns.empty() && task.crashes == 0)
                    continue;
                progress.tasks.push_back(
                    {.occurrence = occurrence.number,
                     .step = static_cast<int>(step),
                     .index = static_cast<int>(index),
                     .isDone = task.isDone,
                     .failures = task.failures,
                     .crashes = task.isDone ? 0 : task.crashes,
                     .endedRuns = task.isDone ? std::vector<std::int64_t>() : task.endedRuns,
                     .checkpoint = task.isDone ? std::string() : task.checkpoint});
            }
        }
    }
    return progress;
}

} // namespace oleanderhall
