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

bool Scheduler::mayStart(const TrackedJob &job, const TrackedTask &task, Instant now) const
{
    if (task.isDone || task.isPlaced)
        return false;
    return !task.mayRunOnUnsyncedWorker || now - m_termStart >= m_settings.inheritedTaskDelay
        || isSynced(job.spec.queue.pool);
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

bool Scheduler::hasTasksToStart(const Candidate &candidate) const
{
    const auto found = m_jobs.find(candidate.job);
    if (found == m_jobs.end() || isFinal(found->second.state))
        return false;
    const TrackedJob &job = found->second;
    const Occurrence &occurrence = job.occurrences[static_cast<std::size_t>(candidate.occurrence)];
    const TrackedStep &step = occurrence.steps[static_cast<std::size_t>(candidate.step)];
    return step.doneTasks + step.placedTasks < static_cast<int>(step.tasks.size())
        && areDependenciesDone(job, occurrence, candidate.step);
}

std::vector<Scheduler::Candidate> Scheduler::candidates(const PoolState &pool, Instant now) const
{
    std::vector<Candidate> result;
    for (const JobId id : pool.jobs) {
        const TrackedJob &job = m_jobs.at(id);
        for (int number = 0; number < static_cast<int>(job.occurrences.size()); ++number) {
            const Occurrence &occurrence = job.occurrences[static_cast<std::size_t>(number)];
            std::optional<JobRank> rank; // the same for all steps
            for (int step = 0; step < static_cast<int>(occurrence.steps.size()); ++step) {
                Candidate candidate{.job = id, .occurrence = number, .step = step};
                if (!hasTasksToStart(candidate))
                    continue;
                if (!rank)
                    rank = rankOf(rankInputsOf(job, occurrence, now));
                candidate.rank = *rank;
                result.push_back(candidate);
            }
        }
    }
    std::stable_sort(result.begin(), result.end(),
                     [](const Candidate &a, const Candidate &b) { return a.rank < b.rank; });
    return result;
}

void Scheduler::groupJobsByPool()
{
    for (auto &[id, pool] : m_pools) {
        pool.jobs.clear();
        pool.ranked.clear();
        pool.nextRanking = {};
    }
    for (const JobId id : m_active)
        m_pools[m_jobs.at(id).spec.queue.pool].jobs.insert(id);
}

void Scheduler::groupWorkersByPool()
{
    for (auto &[id, pool] : m_pools)
        pool.workers.clear();
    for (auto &[id, worker] : m_workers)
        m_pools[worker.info.pool].workers.push_back(&worker);
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
    for (const auto &[id, pool] : m_pools) {
        if (!pool.jobs.empty())
            pools.push_back(id);
    }
    std::rotate(pools.begin(), std::lower_bound(pools.begin(), pools.end(), m_firstPool),
                pools.end());
    for (auto pool = pools.begin(); pool != pools.end(); ++pool) {
        placePool(m_pools.at(*pool), now, out);
        if (!m_startWindow.isOpen()) {
            m_firstPool = pool + 1 == pools.end() ? pools.front() : *(pool + 1);
            m_needsPlacement = true;
            return;
        }
    }
}

void Scheduler::placePool(PoolState &pool, Instant now, std::vector<SchedulerAction> &out)
{
    if (now >= pool.nextRanking) {
        pool.ranked = candidates(pool, now);
        pool.nextRanking = now + pool.ranked.size() * kRankingIntervalPerStep;
    } else {
        m_needsPlacement = true; // the order may lack steps that have become ready since
    }
    const std::size_t maxReleasing = std::max(kMinJobsReleasedAhead,
                                              pool.workers.size() / kWorkersPerJobReleasedAhead);
    std::size_t unplaced = 0;
    std::size_t releasing = 0;
    // The steps that are visited and still have tasks to start move to the front; the others of
    // them are erased below.
    std::size_t kept = 0;
    std::size_t index = 0;
    for (; index < pool.ranked.size(); ++index) {
        const Candidate candidate = pool.ranked[index];
        if (!hasTasksToStart(candidate))
            continue;
        pool.ranked[kept++] = candidate;
        TrackedJob &job = m_jobs.at(candidate.job);
        if (!job.isReleaseRecorded) {
            // Releases the next jobs before there is capacity for them, because they can't start
            // until the release is durable.
            if (++releasing > maxReleasing) {
                ++index;
                break;
            }
            if (!job.isReleased) {
                job.isReleased = true;
                markDirty(job);
            }
            continue;
        }
        const std::size_t before = out.size();
        if (m_startWindow.isOpen())
            placeStep(candidate, now, out);
        if (!m_startWindow.isOpen() || (out.size() == before && ++unplaced >= kMaxUnplacedSteps)) {
            ++index;
            break;
        }
    }
    const auto begin = pool.ranked.begin();
    pool.ranked.erase(begin + static_cast<std::ptrdiff_t>(kept),
                      begin + static_cast<std::ptrdiff_t>(index));
}

void Scheduler::placeStep(const Candidate &candidate, Instant now,
                          std::vector<SchedulerAction> &out)
{
    TrackedJob &job = m_jobs.at(candidate.job);
    const StepSpec &spec = job.spec.steps[static_cast<std::size_t>(candidate.step)];
    Occurrence &occurrence = job.occurrences[static_cast<std::size_t>(candidate.occurrence)];
    TrackedStep &step = occurrence.steps[static_cast<std::size_t>(candidate.step)];
    if (job.spec.queue.advice)
        requestAdvice(candidate, now, out);
    if (spec.isGang) {
        placeGang(job, occurrence, candidate.step, now, out);
        return;
    }
    for (int index = 0; index < static_cast<int>(step.tasks.size()); ++index) {
        if (!m_startWindow.isOpen())
            return;
        if (!mayStart(job, step.tasks[static_cast<std::size_t>(index)], now))
            continue;
        if (!placeTask(job, occurrence, candidate.step, index, now, out))
            return;
    }
}

/// Requests tickets for workers with enough free capacity unless the step has a valid one.
void Scheduler::requestAdvice(const Candidate &candidate, Instant now,
                              std::vector<SchedulerAction> &out)
{
    const TrackedJob &job = m_jobs.at(candidate.job);
    const Occurrence &occurrence = job.occurrences[static_cast<std::size_t>(candidate.occurrence)];
    const TicketCache::StepKey key{job.spec.id, occurrence.number, candidate.step};
    if (m_tickets.isRequestPending(key))
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
    std::int64_t next = trackedStep.lastGangRun;
    std::string checkpoint;
    for (const TrackedTask &task : trackedStep.tasks) {
        if (!mayStart(job, task, now))
            return;
        next = std::max(next, task.lastRun);
        checkpoint = std::max(checkpoint, task.checkpoint);
    }
    next = nextRunNumber(next);
    // Places the tasks one by one; if one does not fit, all placements are undone.
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
                unplace(ended, now);
                m_startWindow.onWithdrawn();
            }
            m_needsPlacement = false;
            return;
        }
        startRun(*worker, job, {job.spec.id, occurrence.number, step, index}, next, now, starts);
    }
    trackedStep.lastGangRun = next;
    std::move(starts.begin(), starts.end(), std::back_inserter(out));
}

WorkerState *Scheduler::chooseWorker(const TrackedJob &job, const Occurrence &occurrence, int step,
                                     const TrackedTask &task, Instant now)
{
    const StepSpec &spec = job.spec.steps[static_cast<std::size_t>(step)];
    Resources need = spec.need;
    if (spec.usesIdleCores)
        need.milliCores = 0;
    WorkerState *best = nullptr;
    double bestScore = 0;
    for (WorkerState *candidate : m_pools[job.spec.queue.pool].workers) {
        WorkerState &worker = *candidate;
        const WorkerId id = worker.info.id;
        if (!worker.acceptsNewTasks(now) || !need.fitsInto(worker.freeCapacity())
            || (!spec.requiredLabel.empty() && !worker.info.hasLabel(spec.requiredLabel)))
            continue;
        if (job.spec.queue.advice
            && m_tickets.find({job.spec.id, occurrence.number, step}, id, now).empty())
            continue;
        int sameStep = 0;
        int serving = 0;
        int onIdleCores = 0;
        for (const WorkerRun &run : worker.runs) {
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
        if (!spec.dataRack.empty() && worker.info.hasLabel(spec.dataRack))
            score += kDataRackBonus;
        if (spec.isLongRunning && m_awaitingMaintenance.contains(id))
            score -= kMaintenancePenalty;
        if (spec.isLongRunning && spec.maxDisrupted >= 0)
            score -= kSameStepPenalty * std::max(0, sameStep - 1);
        const auto capacity = static_cast<double>(
            std::max<std::int64_t>(worker.info.capacity.milliCores, 1));
        const double free = static_cast<double>(worker.freeCapacity().milliCores) / capacity;
        if (spec.usesIdleCores)
            score += kFreeShareWeight * free - kMixedLoadPenalty * serving;
        else if (spec.latencyTarget.count() > 0)
            score += kFreeShareWeight * free - kMixedLoadPenalty * onIdleCores;
        else
            score += (worker.runs.empty() ? 0 : kInUseBonus) - kFreeShareWeight * free;
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
    run.usesIdleCores = spec.usesIdleCores;
    run.isLongRunning = spec.isLongRunning;
    run.latencyTarget = spec.latencyTarget;
    run.startSent = now;
    run.startAttempts = 1;
    run.isCommandInFlight = true;
    task.isPlaced = true;
    task.mayRunOnUnsyncedWorker = false;
    task.worker = worker.info.id;
    task.lastRun = number;
    ++step.placedTasks;
    worker.used += run.reservation;
    if (worker.runs.empty())
        worker.nextPoll = std::max(worker.nextPoll, now + m_settings.pollSpacing);
    worker.runs.push_back(run);
    if (job.state == JobState::Queued) {
        job.state = JobState::Running;
        markLazilyDirty(job, now);
        const auto waited = std::chrono::duration_cast<Millis>(now - job.accepted);
        logDecision({"job_started",
                     {{"job", textOf(id.job)},
                      {"queue", job.spec.queue.name},
                      {"waited_ms", std::to_string(waited.count())}},
                     false,
                     waited});
    }
    out.emplace_back(makeStartCommand(worker, job, worker.runs.back(), now));
}

StartCommand Scheduler::makeStartCommand(WorkerState &worker, const TrackedJob &job,
                                         const WorkerRun &run, Instant now)
{
    StartCommand command{.worker = worker.info.id,
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
