// tick(): commands to workers, polls and writes of progress.
#include "oleanderhall/scheduling/scheduler.h"

#include <algorithm>

namespace oleanderhall {

namespace {

constexpr Millis kLeaseExpirySlack{150}; // added to the worker's time to stop expired runs
constexpr Millis kStatusLifetimeSlack{30000}; // added to the time for which a state stays readable
constexpr Millis kMixedPollWait{700}; // if serving runs share the worker with runs on idle cores
constexpr int kManyFailedPolls = 3; // the worker may be slow to answer
// An idle worker is polled when its clock was not observed for this long, so that the time by which
// it must have carried out a start is known within 600 ms.
constexpr Millis kMaxClockAge{30000};
constexpr Millis kIdleTickInterval{250};
constexpr Millis kBusyTickInterval{50};

/// Returns after how many failed polls in a row the lease of the worker's runs is still extended.
/// Where a restart shows by its start time, fewer silent workers wait for the end of their leases.
int toleratedFailures(const WorkerState &worker)
{
    return worker.info.started.value == 0 ? 1 : 2;
}

} // namespace

std::vector<SchedulerAction> Scheduler::tick(Instant now, std::int64_t wallClockMs,
                                             bool maySendCommands)
{
    std::vector<SchedulerAction> out;
    openOccurrences(wallClockMs);
    dropExpiredRuns(now);
    if (maySendCommands) {
        rateNewJobs();
        countPossiblyRunning(now);
        for (WorkerState *worker : m_workerList)
            sendCommands(*worker, now, out);
        if (m_startGate.mayStart(now))
            place(now, out);
        writeProgress(now, out);
    }
    for (WorkerState *worker : m_workerList)
        sendPoll(*worker, now, out);
    return out;
}

Instant Scheduler::nextTick(Instant now) const
{
    Instant next = now + (m_active.empty() ? kIdleTickInterval : kBusyTickInterval);
    for (const WorkerState *worker : m_workerList) {
        if (!worker->isPollInFlight && !worker->runs.empty() && !worker->hasTerminated)
            next = std::min(next, std::max(worker->nextPoll, now + Millis(1)));
    }
    return next;
}

void Scheduler::dropExpiredRuns(Instant now)
{
    const auto isGone = [](const WorkerState &worker) {
        return !worker.isListed && worker.runs.empty() && worker.hasTerminated;
    };
    bool isAnyGone = false;
    for (WorkerState *worker : m_workerList) {
        if (!worker->runs.empty() && worker->failedPolls > 0
            && haveAllLeasesExpired(*worker, now, m_settings.stopTimeout + kLeaseExpirySlack))
            dropAllRuns(*worker, "lease expired on an unresponsive worker", now);
        isAnyGone = isAnyGone || isGone(*worker);
    }
    if (!isAnyGone)
        return;
    std::erase_if(m_workers, [&](const auto &entry) { return isGone(entry.second); });
    groupWorkersByPool();
}

void Scheduler::sendCommands(WorkerState &worker, Instant now, std::vector<SchedulerAction> &out)
{
    if (worker.hasTerminated)
        return;
    for (WorkerRun &run : worker.runs) {
        if (run.targetCpuLimitPercent != run.cpuLimitPercent && !run.isCpuLimitInFlight
            && run.phase == WorkerRun::Phase::Running) {
            run.isCpuLimitInFlight = true;
            out.emplace_back(
                CpuLimitCommand{worker.info.id, run.task, run.run, run.targetCpuLimitPercent});
        }
        if (run.isCommandInFlight || now < run.nextSend)
            continue;
        if (run.phase == WorkerRun::Phase::Stopping && !run.isStopConfirmed) {
            run.isCommandInFlight = true;
            out.emplace_back(StopCommand{.worker = worker.info.id,
                                         .started = worker.info.started,
                                         .task = run.task,
                                         .run = run.run});
        } else if (run.phase == WorkerRun::Phase::Starting && run.startAttempts > 0
                   && run.startAbandonedAt == Instant{} && worker.isSynced) {
            if (!m_startGate.mayStart(now))
                continue;
            const auto job = m_jobs.find(run.task.job);
            if (job == m_jobs.end() || isFinal(job->second.state)) {
                requestStop(run, now);
                continue;
            }
            // An earlier start may not have arrived, so the worker may not hold the task yet.
            if (worker.isOverCapacity()) {
                abandonStart(worker, run, now);
                continue;
            }
            if (!mayRepeatStart(run, now)) {
                run.nextSend = now + m_settings.commandRetryDelay;
                continue;
            }
            run.isCommandInFlight = true;
            ++run.startAttempts;
            out.emplace_back(makeStartCommand(worker, job->second, run, now));
        }
    }
}

void Scheduler::sendPoll(WorkerState &worker, Instant now, std::vector<SchedulerAction> &out)
{
    if (worker.isPollInFlight || worker.hasTerminated || now < worker.nextPoll)
        return;
    const bool hasUnrecorded = worker.lastHandledEnd > worker.lastRecordedEnd;
    const bool hasUnacknowledged = worker.lastRecordedEnd > worker.lastAcknowledgedEnd;
    if (worker.isSynced && worker.runs.empty() && !hasUnacknowledged && worker.failedPolls == 0
        && worker.clock.age(now) < kMaxClockAge)
        return;
    // A worker reports ended runs until they are acknowledged, and they are acknowledged only once
    // their record is durable. A poll before that would return the same ends at once.
    const Millis left = worker.clock.isKnown()
        ? worker.clock.confirmedExpiry() - worker.clock.estimatedTime(now)
        : Millis(0);
    const bool isLeaseShort = left < m_settings.workerLease / 2;
    if (hasUnrecorded && !(isLeaseShort && !worker.runs.empty()))
        return;
    PollRequest request{.worker = worker.info.id, .started = worker.info.started};
    // Short times at first, so that a new connection is tried soon.
    request.answerTime = worker.failedPolls < kManyFailedPolls ? m_settings.pollAnswerTime
                                                               : m_settings.slowPollAnswerTime;
    if (!mayHaveRestarted(worker, now))
        request.acknowledgedEnd = worker.lastRecordedEnd;
    bool needsAnswerNow = !worker.isSynced || worker.failedPolls > 0 || hasUnrecorded;
    bool hasIdleCoreRuns = false;
    bool hasServingRuns = false;
    bool hasBudgetedRuns = false;
    for (const WorkerRun &run : worker.runs) {
        const StepSpec *spec = run.isLongRunning ? findSpec(run.task) : nullptr;
        const bool isBudgeted = spec && spec->maxDisrupted >= 0;
        hasBudgetedRuns = hasBudgetedRuns || isBudgeted;
        needsAnswerNow = needsAnswerNow
            || (run.phase == WorkerRun::Phase::Starting && run.startAbandonedAt != Instant{})
            || (isBudgeted && worker.statusSent < worker.distrustedUntil
                && now >= worker.distrustedUntil)
            || (run.phase == WorkerRun::Phase::Stopping && run.isStopConfirmed
                && now - run.stopConfirmedAt > m_settings.stopTimeout);
        hasIdleCoreRuns = hasIdleCoreRuns || run.usesIdleCores;
        hasServingRuns = hasServingRuns || run.latencyTarget.count() > 0;
    }
    // Does not extend the lease of an unresponsive worker, so that it expires and the runs are
    // known to have ended. A few lost answers are tolerated.
    if (!worker.runs.empty() && worker.clock.isKnown()
        && worker.failedPolls <= toleratedFailures(worker)) {
        request.leaseExpiry = worker.clock.estimatedTime(now) + m_settings.workerLease;
        worker.clock.recordGranted(request.leaseExpiry);
    }
    if (!needsAnswerNow && !worker.runs.empty())
        request.maxWait = hasIdleCoreRuns && hasServingRuns ? kMixedPollWait : m_settings.pollWait;
    // Ends no later than the distrust, so that the next poll can show the runs as ready.
    if (hasBudgetedRuns && now < worker.distrustedUntil)
        request.maxWait = std::min(request.maxWait,
                                   std::chrono::ceil<Millis>(worker.distrustedUntil - now));
    worker.isPollInFlight = true;
    out.emplace_back(request);
}

void Scheduler::writeProgress(Instant now, std::vector<SchedulerAction> &out)
{
    if (m_batchInFlight || now < m_nextRecordTime)
        return;
    expireOldJobs(now);
    if (m_dirty.empty() && m_expiredJobs.empty()) {
        for (WorkerState *worker : m_workerList)
            worker->lastRecordedEnd = worker->lastHandledEnd;
        return;
    }
    const bool isUrgent = !m_expiredJobs.empty()
        || std::any_of(m_dirty.begin(), m_dirty.end(), [&](JobId id) {
               const TrackedJob &job = m_jobs.at(id);
               return job.isDirty || now - job.lazilyDirtySince >= m_settings.maxRecordDelay;
           });
    if (!isUrgent)
        return;
    ProgressWrite write{.batch = ++m_batch};
    m_batchJobs.clear();
    for (auto next = m_dirty.lower_bound(m_firstDirty);
         write.updates.size() < std::min(m_settings.maxJobsPerWrite, m_dirty.size()); ++next) {
        if (next == m_dirty.end())
            next = m_dirty.begin();
        const JobId id = *next;
        m_firstDirty = JobId{id.value + 1};
        TrackedJob &job = m_jobs.at(id);
        job.isDirty = false;
        job.isLazilyDirty = false;
        job.isReleaseInBatch = job.isReleased;
        job.crashesInBatch = job.crashes;
        write.updates.push_back(progressOf(job));
        m_batchJobs.push_back(id);
    }
    for (const JobId id : m_batchJobs)
        m_dirty.erase(id);
    m_batchDropped.clear();
    while (write.updates.size() + write.droppedJobs.size() < m_settings.maxJobsPerWrite
           && !m_expiredJobs.empty()) {
        write.droppedJobs.push_back(m_expiredJobs.back());
        m_batchDropped.push_back(m_expiredJobs.back());
        m_expiredJobs.pop_back();
    }
    if (m_dirty.empty()) {
        for (WorkerState *worker : m_workerList)
            worker->lastEndInBatch = worker->lastHandledEnd;
    }
    m_batchInFlight = write.batch;
    m_nextRecordTime = now + m_settings.recordInterval;
    out.emplace_back(std::move(write));
}

void Scheduler::expireOldJobs(Instant now)
{
    const Instant limit = now - (m_settings.statusLifetime + kStatusLifetimeSlack);
    while (!m_ended.empty() && m_ended.begin()->first <= limit) {
        m_due.insert(m_ended.begin()->second);
        m_ended.erase(m_ended.begin());
    }
    while (!m_due.empty() && m_expiredJobs.size() < m_settings.maxJobsPerWrite) {
        m_expiredJobs.push_back(*m_due.begin());
        m_due.erase(m_due.begin());
    }
}

/// Updates the index of ended jobs after a change of the job's state or record.
void Scheduler::indexEnded(const TrackedJob &job)
{
    if (!isFinal(job.state))
        return;
    if (job.isRecorded) {
        m_ended.emplace(job.ended, job.spec.id);
    } else {
        m_ended.erase({job.ended, job.spec.id});
        m_due.erase(job.spec.id);
    }
}

} // namespace oleanderhall
