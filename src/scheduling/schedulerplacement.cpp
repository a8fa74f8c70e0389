// Placement: which waiting task starts next, and on which worker.
#include "oleanderhall/scheduling/scheduler.h"

#include <algorithm>
#include <cmath>

namespace oleanderhall {

namespace {

constexpr std::int64_t kRunsPerGeneration = 1000;
// Placement in a pool ends after this many steps without a start, which bounds the search of a full
// pool.
constexpr std::size_t kMaxUnplacedSteps = 40;
// The same for one team if several share the pool.
constexpr std::size_t kMinUnplacedStepsPerTeam = 2;
// A team at its cap may have steps that don't use the resource at its limit. Jobs among these steps
// are released, so that they can start as soon as others end.
constexpr std::size_t kMaxCappedStepsPerTeam = 8;
constexpr double kMilliPerUnit = 1000;
// Per pool. After a take-over, released jobs may have to wait until earlier leases have expired, so
// a higher limit would delay more jobs. A large pool starts more jobs while a release is recorded.
constexpr std::size_t kMinJobsReleasedAhead = 12;
constexpr std::size_t kWorkersPerJobReleasedAhead = 4;
// Ranking the steps of a backlog takes time in proportion to their number. The order is used for a
// few times as long, so that it takes a bounded share of the processor time.
constexpr std::chrono::microseconds kRankingIntervalPerStep{20};
constexpr std::size_t kMaxWorkersPerAdvice = 12; // each worker adds to the response time

// Scores of chooseWorker(). The share of free cores is between 0 and 1.
constexpr double kFailedHerePenalty = 1000;
constexpr double kDataRackBonus = 100;
constexpr double kMaintenancePenalty = 50; // only for long-running tasks
// Per task of the same step on the worker beyond the first, if the step has a disruption budget.
// Limits how many of its tasks the loss of one host ends.
constexpr double kSameStepPenalty = 30.0;
// Per serving run for a task on idle cores, and per run on idle cores for a serving task.
constexpr double kMixedLoadPenalty = 20.0;
constexpr double kFreeShareWeight = 10.0;
constexpr int kInUseBonus = 5; // for a worker that has runs

double seconds(Millis time)
{
    return static_cast<double>(time.count()) / kMilliPerUnit;
}

double coreSeconds(const StepSpec &step, Millis perTask)
{
    return static_cast<double>(step.need.milliCores) / kMilliPerUnit * seconds(perTask);
}

} // namespace

std::int64_t Scheduler::nextRunNumber(std::int64_t last) const
{
    return std::max(last + 1, m_generation * kRunsPerGeneration + 1);
}

bool Scheduler::areDependenciesDone(const TrackedJob &job, const Occurrence &occurrence,
                                    int step) const
{
    const auto &after = job.spec.steps[static_cast<std::size_t>(step)].after;
    return std::all_of(after.begin(), after.end(), [&](int earlier) {
        return occurrence.steps[static_cast<std::size_t>(earlier)].isComplete();
    });
}

bool Scheduler::mayStart(const TrackedJob &job, const TrackedTask &task, Instant now)
{
    return !task.isDone && !task.isPlaced && areEarlierRunsKnown(job, task, now)
        && areCrashesRecorded(job, task);
}

/// Returns whether no run that an earlier owner may have started is unknown to this owner.
bool Scheduler::areEarlierRunsKnown(const TrackedJob &job, const TrackedTask &task, Instant now)
{
    if (!task.mayRunOnUnsyncedWorker || now - m_termStart >= m_settings.inheritedTaskDelay)
        return true;
    const auto areRunsRead = [this](PoolId pool) {
        std::optional<bool> &isPoolSynced = m_pools[pool].isSynced;
        if (!isPoolSynced)
            isPoolSynced = isSynced(pool);
        return *isPoolSynced;
    };
    return areRunsRead(job.spec.queue.pool)
        && std::all_of(job.earlierPools.begin(), job.earlierPools.end(), areRunsRead);
}

Millis Scheduler::remainingCriticalPath(const TrackedJob &job, const Occurrence *occurrence) const
{
    std::vector<Millis> ends(job.spec.steps.size(), Millis(0));
    Millis longest{0};
    for (std::size_t step = 0; step < job.spec.steps.size(); ++step) {
        const StepSpec &spec = job.spec.steps[step];
        Millis begin{0};
        for (const int earlier : spec.after)
            begin = std::max(begin, ends[static_cast<std::size_t>(earlier)]);
        const bool isDone = occurrence && occurrence->steps[step].isComplete();
        ends[step] = begin + (isDone ? Millis(0) : m_runTimes.expected(job.spec.queue.name, spec));
        longest = std::max(longest, ends[step]);
    }
    return longest;
}

double Scheduler::remainingWork(const TrackedJob &job, const Occurrence *occurrence) const
{
    double work = 0;
    for (std::size_t step = 0; step < job.spec.steps.size(); ++step) {
        const StepSpec &spec = job.spec.steps[step];
        const int done = occurrence ? occurrence->steps[step].doneTasks : 0;
        const auto left = static_cast<double>(spec.count - done);
        work += left * coreSeconds(spec, m_runTimes.expected(job.spec.queue.name, spec));
    }
    return work;
}

JobRankInputs Scheduler::rankInputsOf(const TrackedJob &job, const Occurrence &occurrence,
                                      Instant now) const
{
    JobRankInputs inputs{.isLongRunning = job.isLongRunning(),
                         .priority = job.spec.queue.priority,
                         .stretch = job.spec.queue.stretch,
                         .allowance = job.spec.queue.allowance};
    if (inputs.isLongRunning)
        return inputs;
    inputs.age = std::chrono::duration_cast<Millis>(now - job.accepted);
    inputs.criticalPath = remainingCriticalPath(job, nullptr);
    inputs.criticalPathLeft = remainingCriticalPath(job, &occurrence);
    inputs.totalWork = remainingWork(job, nullptr);
    inputs.workLeft = remainingWork(job, &occurrence);
    inputs.meanWork = m_runTimes.meanWork(job.spec.queue.name);
    return inputs;
}

bool Scheduler::hasTasksToStart(const StepPosition &candidate) const
{
    const auto found = m_jobs.find(candidate.job);
    if (found == m_jobs.end() || isFinal(found->second.state))
        return false;
    const TrackedJob &job = found->second;
    return hasTasksToStart(job, job.occurrences[static_cast<std::size_t>(candidate.occurrence)],
                           candidate.step);
}

bool Scheduler::hasTasksToStart(const TrackedJob &job, const Occurrence &occurrence, int step) const
{
    const TrackedStep &tracked = occurrence.steps[static_cast<std::size_t>(step)];
    return tracked.doneTasks + tracked.placedTasks < static_cast<int>(tracked.tasks.size())
        && areDependenciesDone(job, occurrence, step);
}

/// Records that the job may have tasks to start since its last ranking.
void Scheduler::noteTasksToStart(JobId id)
{
    const auto found = m_jobs.find(id);
    if (found != m_jobs.end() && !isFinal(found->second.state))
        m_pools[found->second.spec.queue.pool].startable.insert(id);
}

/// Orders the steps of the pool with tasks to start. Omits those that no worker is large enough
/// for, because unplaced steps limit how many others are tried.
void Scheduler::rankSteps(PoolState &pool, Instant now)
{
    pool.ranked.clear();
    std::erase_if(pool.startable, [&](JobId id) {
        const TrackedJob &job = m_jobs.at(id);
        bool isStartable = false;
        for (int number = 0; number < static_cast<int>(job.occurrences.size()); ++number) {
            const Occurrence &occurrence = job.occurrences[static_cast<std::size_t>(number)];
            std::optional<StepStanding> standing; // the same for all steps
            for (int step = 0; step < static_cast<int>(occurrence.steps.size()); ++step) {
                if (!hasTasksToStart(job, occurrence, step))
                    continue;
                isStartable = true;
                if (!standing)
                    standing = stepStandingOf(job, occurrence, now);
                const StepSpec &spec = job.spec.steps[static_cast<std::size_t>(step)];
                Resources need = spec.need;
                if (spec.usesIdleCores)
                    need.milliCores = 0;
                if (!pool.workers.empty() && !need.fitsInto(pool.largestWorker))
                    continue;
                standing->need = spec.isGang ? times(need, spec.count) : need;
                pool.ranked.add(job.spec.team, *standing,
                                {.job = id, .occurrence = number, .step = step});
            }
        }
        return !isStartable;
    });
    pool.ranked.sort();
}

void Scheduler::groupJobsByPool()
{
    for (auto &[id, pool] : m_pools) {
        pool.jobs.clear();
        pool.startable.clear();
        pool.ranked.clear();
        pool.nextRanking = {};
    }
    for (const JobId id : m_active) {
        m_pools[m_jobs.at(id).spec.queue.pool].jobs.insert(id);
        noteTasksToStart(id);
    }
}

void Scheduler::groupWorkersByPool()
{
    for (auto &[id, pool] : m_pools) {
        pool.workers.clear();
        pool.candidates.reset();
        pool.capacity = {};
        pool.largestWorker = {};
    }
    m_workerList.clear();
    for (auto &[id, worker] : m_workers) {
        m_workerList.push_back(&worker);
        PoolState &pool = m_pools[worker.info.pool];
        pool.workers.push_back(&worker);
        pool.capacity += worker.info.capacity;
        pool.largestWorker = higher(pool.largestWorker, worker.info.capacity);
    }
}

void Scheduler::place(Instant now, std::vector<SchedulerAction> &out)
{
    constexpr Millis kMaxPlacementInterval{100}; // time limits pass without any event
    if (!m_needsPlacement && now - m_lastPlacement < kMaxPlacementInterval)
        return;
    m_needsPlacement = false;
    m_lastPlacement = now;
    // Starts with the pool after the one where the start window was full last time, so that every
    // pool gets its share of the start commands.
    std::vector<PoolId> pools;
    for (auto &[id, pool] : m_pools) {
        pool.isSynced.reset();
        pool.candidates.reset();
        if (!pool.jobs.empty())
            pools.push_back(id);
    }
    std::rotate(pools.begin(), std::lower_bound(pools.begin(), pools.end(), m_firstPool),
                pools.end());
    for (auto pool = pools.begin(); pool != pools.end(); ++pool) {
        placePool(*pool, m_pools.at(*pool), now, out);
        placeCopies(m_pools.at(*pool), now, out);
        if (!m_startWindow.isOpen()) {
            m_firstPool = pool + 1 == pools.end() ? pools.front() : *(pool + 1);
            m_needsPlacement = true;
            return;
        }
    }
}

void Scheduler::placePool(PoolId id, PoolState &pool, Instant now,
                          std::vector<SchedulerAction> &out)
{
    updateQuarantine(id, pool, now);
    if (now >= pool.nextRanking) {
        rankSteps(pool, now);
        pool.nextRanking = now + pool.ranked.size() * kRankingIntervalPerStep;
    } else {
        m_needsPlacement = true; // the order may lack steps that have become ready since
    }
    const std::size_t maxReleasing = std::max(kMinJobsReleasedAhead,
                                              pool.workers.size() / kWorkersPerJobReleasedAhead);
    const std::size_t maxUnplacedPerTeam = std::max(
        kMinUnplacedStepsPerTeam,
        kMaxUnplacedSteps / std::max<std::size_t>(pool.ranked.teamCount(), 1));
    std::size_t unplaced = 0;
    std::size_t releasing = 0;
    const bool isShared = pool.ranked.teamCount() > 1;
    if (isShared)
        checkReservation(pool, now);
    else
        pool.reservation = {};
    pool.ranked.beginRound([&](TeamId team) { return standingOf(pool, team); });
    while (const StepPosition *next = pool.ranked.next()) {
        const StepPosition candidate = *next;
        if (!hasTasksToStart(candidate)) {
            pool.ranked.drop();
            continue;
        }
        TrackedJob &job = m_jobs.at(candidate.job);
        const StepSpec &spec = job.spec.steps[static_cast<std::size_t>(candidate.step)];
        const bool isCapped = !isWithinCap(job, spec, 1, now);
        if (isCapped && pool.ranked.countRefusal() >= kMaxCappedStepsPerTeam)
            pool.ranked.block();
        if (!job.isReleaseRecorded) {
            // Releases the next jobs before there is capacity for them, because they can't start
            // until the release is durable.
            pool.ranked.keep();
            if (++releasing > maxReleasing) {
                pool.ranked.block();
                continue;
            }
            pool.ranked.addRunning(spec.need); // so that each team has jobs released in its turn
            if (!job.isReleased) {
                job.isReleased = true;
                markDirty(job);
            }
            continue;
        }
        if (isCapped) {
            pool.ranked.keep();
            continue;
        }
        if (!m_startWindow.isOpen()) {
            pool.ranked.keep();
            break;
        }
        const std::size_t before = out.size();
        const bool isInterrupted = placeStep(pool, candidate, now, out);
        if (isShared && out.size() != before)
            onStepStarted(pool, candidate);
        if (isInterrupted) {
            pool.ranked.repeat();
            continue;
        }
        pool.ranked.keep();
        if (!m_startWindow.isOpen())
            break;
        if (out.size() != before)
            continue;
        if (isShared && unplaced == 0)
            onStepRefused(pool, candidate, now);
        if (++unplaced >= kMaxUnplacedSteps)
            break;
        if (pool.ranked.countRefusal() >= maxUnplacedPerTeam)
            pool.ranked.block();
    }
    pool.ranked.endRound();
}

/// Starts tasks of the step. Returns true if it stopped because it is another team's turn.
bool Scheduler::placeStep(PoolState &pool, const StepPosition &candidate, Instant now,
                          std::vector<SchedulerAction> &out)
{
    TrackedJob &job = m_jobs.at(candidate.job);
    const StepSpec &spec = job.spec.steps[static_cast<std::size_t>(candidate.step)];
    Occurrence &occurrence = job.occurrences[static_cast<std::size_t>(candidate.occurrence)];
    TrackedStep &step = occurrence.steps[static_cast<std::size_t>(candidate.step)];
    const auto reserved = [&] {
        const auto used = pool.used.find(job.spec.team);
        return used == pool.used.end() ? Resources() : used->second;
    };
    if (job.spec.queue.advice)
        requestAdvice(candidate, now, out);
    if (spec.isGang) {
        const Resources before = reserved();
        placeGang(job, occurrence, candidate.step, now, out);
        pool.ranked.addRunning(reserved() - before);
        return false;
    }
    for (int index = 0; index < static_cast<int>(step.tasks.size()); ++index) {
        if (!m_startWindow.isOpen())
            return false;
        if (!mayStart(job, step.tasks[static_cast<std::size_t>(index)], now))
            continue;
        if (!pool.ranked.isCurrentFirst())
            return true;
        const Resources before = reserved();
        if (!placeTask(job, occurrence, candidate.step, index, now, out)) {
            if (!isIsolated(step.tasks[static_cast<std::size_t>(index)], now))
                return false;
            continue; // other tasks of the step need no worker of their own
        }
        pool.ranked.addRunning(reserved() - before);
    }
    return false;
}

/// Requests tickets for workers with enough free capacity unless the step has a valid one.
void Scheduler::requestAdvice(const StepPosition &candidate, Instant now,
                              std::vector<SchedulerAction> &out)
{
    const TrackedJob &job = m_jobs.at(candidate.job);
    const Occurrence &occurrence = job.occurrences[static_cast<std::size_t>(candidate.occurrence)];
    const TicketCache::StepKey key{job.spec.id, occurrence.number, candidate.step};
    if (!m_tickets.mayRequest(key, now))
        return;
    const StepSpec &spec = job.spec.steps[static_cast<std::size_t>(candidate.step)];
    AdviceRequest request{.job = key.job, .occurrence = key.occurrence, .step = key.step};
    for (const WorkerState *candidateWorker : m_pools[job.spec.queue.pool].workers) {
        const WorkerState &worker = *candidateWorker;
        const WorkerId id = worker.info.id;
        if (!worker.acceptsNewTasks(now) || !spec.need.fitsInto(worker.freeCapacity())
            || m_tickets.isDenied(key, id))
            continue;
        if (!m_tickets.find(key, id, now).empty())
            return; // one valid ticket is enough to place a task
        if (request.workers.size() < kMaxWorkersPerAdvice)
            request.workers.push_back(id);
    }
    if (request.workers.empty())
        return;
    m_tickets.addPendingRequest(key);
    out.emplace_back(std::move(request));
}

bool Scheduler::placeTask(TrackedJob &job, Occurrence &occurrence, int step, int index, Instant now,
                          std::vector<SchedulerAction> &out)
{
    TrackedTask &task = occurrence.steps[static_cast<std::size_t>(step)]
                            .tasks[static_cast<std::size_t>(index)];
    beginIsolation(task, now);
    WorkerState *worker = chooseWorker(job, occurrence, step, task, now);
    if (!worker)
        return false;
    const TaskId id{job.spec.id, occurrence.number, step, index};
    startRun(*worker, job, id, nextRunNumber(task.lastRun), now, out);
    return true;
}

void Scheduler::placeGang(TrackedJob &job, Occurrence &occurrence, int step, Instant now,
                          std::vector<SchedulerAction> &out)
{
    TrackedStep &trackedStep = occurrence.steps[static_cast<std::size_t>(step)];
    if (trackedStep.placedTasks > 0)
        return; // all tasks of a gang start together, after every earlier run has ended
    if (!isWithinCap(job, job.spec.steps[static_cast<std::size_t>(step)],
                     static_cast<int>(trackedStep.tasks.size()), now))
        return;
    std::int64_t next = trackedStep.lastGangRun;
    std::string checkpoint;
    for (const TrackedTask &task : trackedStep.tasks) {
        if (!mayStart(job, task, now))
            return;
        next = std::max(next, task.lastRun);
        checkpoint = std::max(checkpoint, task.checkpoint);
    }
    next = nextRunNumber(next);
    for (TrackedTask &task : trackedStep.tasks)
        beginIsolation(task, now);
    // Places the tasks one by one; if one does not fit, all placements are undone.
    const std::vector<TrackedTask> before = trackedStep.tasks;
    std::vector<SchedulerAction> starts;
    for (int index = 0; index < static_cast<int>(trackedStep.tasks.size()); ++index) {
        TrackedTask &task = trackedStep.tasks[static_cast<std::size_t>(index)];
        task.checkpoint = checkpoint;
        WorkerState *worker = chooseWorker(job, occurrence, step, task, now);
        if (!worker) {
            for (const SchedulerAction &action : starts) {
                const auto &start = std::get<StartCommand>(action);
                WorkerState &holder = m_workers.at(start.worker);
                WorkerRun *placed = findRun(holder, start.task, start.run);
                const WorkerRun ended = *placed;
                removeRun(holder, static_cast<std::size_t>(placed - holder.runs.data()));
                updateCandidate(holder, now);
                unplace(ended, now);
                m_startWindow.onWithdrawn();
            }
            trackedStep.tasks = before;
            m_needsPlacement = false;
            return;
        }
        startRun(*worker, job, {job.spec.id, occurrence.number, step, index}, next, now, starts);
    }
    trackedStep.lastGangRun = next;
    noteStarted(job, now);
    std::move(starts.begin(), starts.end(), std::back_inserter(out));
}

Scheduler::PlacementCandidate Scheduler::candidateOf(WorkerState &worker, Instant now)
{
    const Resources free = worker.freeCapacity();
    const auto capacity = static_cast<double>(
        std::max<std::int64_t>(worker.info.capacity.milliCores, 1));
    return {.worker = &worker,
            .free = free,
            .freeShare = static_cast<double>(free.milliCores) / capacity,
            .slownessPenalty = slownessPenalty(worker, now),
            .hasRuns = !worker.runs.empty()};
}

/// Updates what chooseWorker() knows of the worker after a change of its runs in a placement.
void Scheduler::updateCandidate(WorkerState &worker, Instant now)
{
    PoolState &pool = m_pools[worker.info.pool];
    if (!pool.candidates)
        return;
    for (PlacementCandidate &candidate : *pool.candidates) {
        if (candidate.worker == &worker)
            candidate = candidateOf(worker, now);
    }
}

WorkerState *Scheduler::chooseWorker(const TrackedJob &job, const Occurrence &occurrence, int step,
                                     const TrackedTask &task, Instant now)
{
    const StepSpec &spec = job.spec.steps[static_cast<std::size_t>(step)];
    if (!isWithinCap(job, spec, 1, now))
        return nullptr;
    Resources need = spec.need;
    if (spec.usesIdleCores)
        need.milliCores = 0;
    WorkerState *best = nullptr;
    double bestScore = 0;
    const bool mustBeIsolated = isIsolated(task, now);
    PoolState &pool = m_pools[job.spec.queue.pool];
    if (!pool.candidates) {
        pool.candidates.emplace();
        for (WorkerState *worker : pool.workers) {
            if (worker->acceptsNewTasks(now))
                pool.candidates->push_back(candidateOf(*worker, now));
        }
    }
    const bool isReservedFor = pool.reservation.position
        == StepPosition{job.spec.id, static_cast<int>(&occurrence - job.occurrences.data()), step};
    const bool isSpread = spec.isLongRunning && spec.maxDisrupted >= 0;
    const bool isServing = spec.latencyTarget.count() > 0;
    // For other steps, the score does not depend on which runs the worker has.
    const bool needsRuns = spec.maxPerWorker > 0 || isSpread || spec.usesIdleCores || isServing;
    for (const PlacementCandidate &candidate : *pool.candidates) {
        if (!need.fitsInto(candidate.free))
            continue;
        WorkerState &worker = *candidate.worker;
        const WorkerId id = worker.info.id;
        if ((!isReservedFor && pool.reservation.workers.contains(id))
            || (!mustBeIsolated && pool.quarantine.contains(id)))
            continue;
        if ((task.isPlaced && id == task.worker) // a copy runs elsewhere
            || (!spec.requiredLabel.empty() && !worker.info.hasLabel(spec.requiredLabel)))
            continue;
        if (job.spec.queue.advice
            && m_tickets.find({job.spec.id, occurrence.number, step}, id, now).empty())
            continue;
        if (task.crashes > 0 && isEndExpected(worker, now))
            continue; // its next crash would not be counted there
        const auto isCompatible = [&](const WorkerRun &run) {
            return mayRunBeside(run, job.spec.id, mustBeIsolated);
        };
        if (!m_suspectTasks.empty()
            && !std::all_of(worker.runs.begin(), worker.runs.end(), isCompatible))
            continue;
        int sameStep = 0;
        int serving = 0;
        int onIdleCores = 0;
        for (std::size_t index = 0; needsRuns && index < worker.runs.size(); ++index) {
            const WorkerRun &run = worker.runs[index];
            if (run.task.job == job.spec.id && run.task.occurrence == occurrence.number
                && run.task.step == step)
                ++sameStep;
            serving += run.latencyTarget.count() > 0 ? 1 : 0;
            onIdleCores += run.usesIdleCores ? 1 : 0;
        }
        if (spec.maxPerWorker > 0 && sameStep >= spec.maxPerWorker)
            continue;
        // The highest score wins: avoids workers where the task failed, prefers the rack of its
        // data, then fills workers that are in use.
        double score = 0;
        if (std::find(task.failedOn.begin(), task.failedOn.end(), id) != task.failedOn.end())
            score -= kFailedHerePenalty;
        score -= candidate.slownessPenalty;
        if (!spec.dataRack.empty() && worker.info.hasLabel(spec.dataRack))
            score += kDataRackBonus;
        if (spec.isLongRunning && m_awaitingMaintenance.contains(id))
            score -= kMaintenancePenalty;
        if (isSpread)
            score -= kSameStepPenalty * std::max(0, sameStep - 1);
        if (spec.usesIdleCores)
            score += kFreeShareWeight * candidate.freeShare - kMixedLoadPenalty * serving;
        else if (isServing)
            score += kFreeShareWeight * candidate.freeShare - kMixedLoadPenalty * onIdleCores;
        else
            score += (candidate.hasRuns ? kInUseBonus : 0) - kFreeShareWeight * candidate.freeShare;
        if (!best || score > bestScore) {
            best = &worker;
            bestScore = score;
        }
    }
    return best;
}

void Scheduler::startRun(WorkerState &worker, TrackedJob &job, const TaskId &id,
                         std::int64_t number, Instant now, std::vector<SchedulerAction> &out)
{
    const StepSpec &spec = job.spec.steps[static_cast<std::size_t>(id.step)];
    TrackedStep &step = *findStep(id);
    TrackedTask &task = step.tasks[static_cast<std::size_t>(id.index)];
    WorkerRun run{.task = id, .run = number};
    run.reservation = spec.need;
    if (spec.usesIdleCores)
        run.reservation.milliCores = 0;
    run.team = job.spec.team;
    run.need = spec.need;
    run.usesIdleCores = spec.usesIdleCores;
    run.isLongRunning = spec.isLongRunning;
    run.latencyTarget = spec.latencyTarget;
    run.startSent = now;
    run.startAttempts = 1;
    run.isCommandInFlight = true;
    run.allowsCopies = allowsCopies(spec);
    run.showsSpeed = showsSpeed(spec);
    run.expectedRunTime = m_runTimes.expected(job.spec.queue.name, spec);
    run.isIsolated = isIsolated(task, now);
    if (task.isPlaced) {
        trackCopy(task, run, worker.info.id);
    } else {
        task.isPlaced = true;
        task.worker = worker.info.id;
        task.currentRun = number;
        task.lastRun = number;
        ++step.placedTasks;
    }
    task.mayRunOnUnsyncedWorker = false;
    if (worker.runs.empty())
        worker.nextPoll = std::max(worker.nextPoll, now + m_settings.pollSpacing);
    addRun(worker, std::move(run));
    updateCandidate(worker, now);
    if (!spec.isGang) // whose other tasks may not fit
        noteStarted(job, now);
    out.emplace_back(makeStartCommand(worker, job, worker.runs.back(), now));
}

/// Records that a task of the job starts.
void Scheduler::noteStarted(TrackedJob &job, Instant now)
{
    if (job.state != JobState::Queued)
        return;
    job.state = JobState::Running;
    job.firstStart = now;
    markLazilyDirty(job, now);
    const auto waited = std::chrono::duration_cast<Millis>(now - job.accepted);
    logDecision({"job_started",
                 {{"job", textOf(job.spec.id)},
                  {"queue", job.spec.queue.name},
                  {"waited_ms", std::to_string(waited.count())}},
                 false,
                 waited});
}

/// Records that a worker has confirmed a run of the task.
void Scheduler::noteBegun(const TaskId &task, Instant now)
{
    const auto job = m_jobs.find(task.job);
    if (job == m_jobs.end() || job->second.hasBegun)
        return;
    job->second.hasBegun = true;
    if (!isFinal(job->second.state))
        markLazilyDirty(job->second, now);
}

/// Records that the start of the task was certainly not carried out.
void Scheduler::noteNotStarted(const TaskId &task)
{
    const auto job = m_jobs.find(task.job);
    if (job == m_jobs.end() || job->second.hasBegun)
        return;
    for (const Occurrence &occurrence : job->second.occurrences) {
        for (const TrackedStep &step : occurrence.steps) {
            if (step.placedTasks > 0)
                return;
        }
    }
    job->second.firstStart = {};
}

StartCommand Scheduler::makeStartCommand(WorkerState &worker, const TrackedJob &job,
                                         const WorkerRun &run, Instant now)
{
    StartCommand command{.worker = worker.info.id,
                         .started = worker.info.started,
                         .task = run.task,
                         .run = run.run,
                         .payload = job.spec.payload,
                         .checkpoint = findTask(run.task)->checkpoint};
    if (job.spec.queue.advice)
        command.ticket = m_tickets.find({run.task.job, run.task.occurrence, run.task.step},
                                        worker.info.id, now);
    // A worker refuses a start whose lease has expired, however late the command arrives.
    const auto timeToStart = std::chrono::duration_cast<Millis>(m_startGate.latestStart() - now);
    command.leaseExpiry = std::min(worker.clock.estimatedTime(now) + m_settings.workerLease,
                                   worker.clock.earliestTime(now) + timeToStart);
    worker.clock.recordGranted(command.leaseExpiry);
    m_startWindow.onSent();
    return command;
}

} // namespace oleanderhall
