// Handling of the results of commands, polls and writes.
#include "oleanderhall/scheduling/scheduler.h"

#include <algorithm>

namespace oleanderhall {

namespace {

constexpr Millis kCapacityRetryDelay{300}; // if free capacity is less than assumed, or NotSent
constexpr int kMaxAvoidDoublings = 4;
// A service that refuses connections fails each request at once.
constexpr Millis kAdviceRetryDelay{250};

} // namespace

WorkerRun *Scheduler::findRun(WorkerState &worker, const TaskId &task, std::int64_t run)
{
    for (WorkerRun &known : worker.runs) {
        if (known.task == task && known.run == run)
            return &known;
    }
    return nullptr;
}

void Scheduler::unplace(const WorkerRun &run, Instant now)
{
    TrackedTask *task = findTask(run.task);
    if (!task || !task->isPlaced)
        return;
    const bool isCurrent = task->currentRun == run.run;
    if (task->copyRun != 0 && (isCurrent || task->copyRun == run.run)) {
        // The other run goes on.
        if (isCurrent) {
            task->currentRun = task->copyRun;
            task->worker = task->copyWorker;
        }
        task->copyRun = 0;
        task->copyWorker = {};
        return;
    }
    if (!isCurrent)
        return;
    task->isPlaced = false;
    task->worker = {};
    task->isolationBegin = {};
    if (task->mayRunOnUnsyncedWorker)
        m_nextPossibleCount = {}; // an earlier owner may have started it again
    --findStep(run.task)->placedTasks;
    noteTasksToStart(run.task.job);
    m_needsPlacement = true;
}

void Scheduler::addRun(WorkerState &worker, WorkerRun run)
{
    worker.used += run.reservation;
    worker.runsOfUnknownNeed += run.isNeedUnknown ? 1 : 0;
    addUsage(worker.info.pool, run);
    m_holders[run.task.job].push_back(&worker);
    worker.runs.push_back(std::move(run));
}

void Scheduler::removeRun(WorkerState &worker, std::size_t index)
{
    worker.used -= worker.runs[index].reservation;
    worker.runsOfUnknownNeed -= worker.runs[index].isNeedUnknown ? 1 : 0;
    removeUsage(worker.info.pool, worker.runs[index]);
    removeHolder(worker.runs[index].task.job, worker);
    worker.runs.erase(worker.runs.begin() + static_cast<std::ptrdiff_t>(index));
    m_needsPlacement = true;
}

/// Removes one of the job's runs on the worker from the index.
void Scheduler::removeHolder(JobId job, WorkerState &worker)
{
    const auto found = m_holders.find(job);
    std::vector<WorkerState *> &holders = found->second;
    *std::find(holders.begin(), holders.end(), &worker) = holders.back();
    holders.pop_back();
    if (holders.empty())
        m_holders.erase(found);
}

/// Returns the workers with runs of the job, in the order of their ids.
std::vector<WorkerState *> Scheduler::holdersOf(JobId job) const
{
    const auto found = m_holders.find(job);
    if (found == m_holders.end())
        return {};
    std::vector<WorkerState *> holders = found->second;
    std::sort(holders.begin(), holders.end(),
              [](const WorkerState *a, const WorkerState *b) { return a->info.id < b->info.id; });
    holders.erase(std::unique(holders.begin(), holders.end()), holders.end());
    return holders;
}

void Scheduler::requestStop(WorkerRun &run, Instant now)
{
    if (run.phase == WorkerRun::Phase::Stopping)
        return;
    run.phase = WorkerRun::Phase::Stopping;
    run.nextSend = now;
}

/// Sends the start of the run no more. The run may be at work, so it isn't stopped before a status
/// shows that it isn't.
void Scheduler::abandonStart(WorkerState &worker, WorkerRun &run, Instant now)
{
    if (run.startAbandonedAt != Instant{})
        return;
    run.startAbandonedAt = now;
    worker.nextPoll = now;
    logDecision({"start_abandoned",
                 {{"task", textOf(run.task)},
                  {"run", std::to_string(run.run)},
                  {"worker", worker.info.id.name()},
                  {"attempts", std::to_string(run.startAttempts)}},
                 true});
}

void Scheduler::dropAllRuns(WorkerState &worker, const char *reason, Instant now)
{
    if (!worker.runs.empty()) {
        logDecision({"runs_lost",
                     {{"worker", worker.info.id.name()},
                      {"reason", reason},
                      {"runs", std::to_string(worker.runs.size())}},
                     true});
    }
    for (const WorkerRun &run : worker.runs) {
        if (TrackedTask *task = findTask(run.task); task && !run.checkpoint.empty())
            task->checkpoint = run.checkpoint;
        removeUsage(worker.info.pool, run);
        removeHolder(run.task.job, worker);
        unplace(run, now);
    }
    worker.runs.clear();
    worker.used = {};
    worker.runsOfUnknownNeed = 0;
    m_needsPlacement = true;
}

void Scheduler::avoid(WorkerState &worker, const char *reason, Instant now)
{
    if (now < worker.avoidUntil)
        return;
    worker.avoidUntil = now
        + m_settings.avoidDuration * (1 << std::min(worker.timesAvoided, kMaxAvoidDoublings));
    ++worker.timesAvoided;
    logDecision({"worker_avoided",
                 {{"worker", worker.info.id.name()},
                  {"reason", reason},
                  {"relapses", std::to_string(worker.timesAvoided)}},
                 true});
}

/// Returns the worker that a command or poll was sent to, or nullptr if it is not known any more.
/// If `result` shows that it has terminated, drops its runs and returns nullptr.
WorkerState *Scheduler::updateCommandedWorker(WorkerId id, WorkerStartTime started,
                                              CallResult result, Instant now)
{
    const auto found = m_workers.find(id);
    if (found == m_workers.end())
        return nullptr;
    if (result != CallResult::OtherIncarnation || isForEarlierIncarnation(found->second, started))
        return &found->second;
    found->second.hasTerminated = true;
    onWorkerCrashed(found->second, now);
    dropAllRuns(found->second, "another incarnation answered", now);
    return nullptr;
}

/// Returns the worker and the run that a command was sent to; the run is nullptr if it is not known
/// any more.
template <typename Command>
std::pair<WorkerState *, WorkerRun *> Scheduler::updateCommandedRun(const Command &command,
                                                                    CallResult result, Instant now)
{
    WorkerState *worker = updateCommandedWorker(command.worker, command.started, result, now);
    WorkerRun *run = worker ? findRun(*worker, command.task, command.run) : nullptr;
    if (run)
        run->isCommandInFlight = false;
    return {worker, run};
}

void Scheduler::onStartResult(const StartCommand &command, CallResult result, Instant now)
{
    if (!m_startWindow.isOpen())
        m_needsPlacement = true;
    if (result == CallResult::Withheld)
        m_startWindow.onWithdrawn();
    else
        m_startWindow.onCompleted(result != CallResult::Unknown && result != CallResult::NotSent);
    const auto [answering, run] = updateCommandedRun(command, result, now);
    if (!run)
        return;
    WorkerState &worker = *answering;
    if (result != CallResult::Ok) {
        logDecision({"start_not_confirmed",
                     {{"task", textOf(command.task)},
                      {"run", std::to_string(command.run)},
                      {"worker", command.worker.name()},
                      {"result", nameOf(result)}}});
    }
    switch (result) {
    case CallResult::Ok:
        if (!isForEarlierIncarnation(worker, command.started))
            worker.clock.recordConfirmed(command.leaseExpiry);
        noteBegun(command.task, now);
        if (run->phase == WorkerRun::Phase::Starting) {
            run->phase = WorkerRun::Phase::Running;
            run->runningSince = now;
            run->lastProgress = now;
        }
        return;
    case CallResult::Unknown:
        run->mayHaveStarted = true;
        worker.nextPoll = now; // one lost answer does not prove a fault; the poll shows more
        break;
    case CallResult::Withheld:
        break;
    case CallResult::NotSent:
        worker.nextPoll = now;
        worker.avoidUntil = std::max(worker.avoidUntil, now + kCapacityRetryDelay);
        break;
    case CallResult::Invalid:
        run->mayHaveStarted = true; // an unreadable answer shows nothing
        [[fallthrough]];
    case CallResult::Unhealthy:
        avoid(worker, nameOf(result), now);
        break;
    case CallResult::NoCapacity:
        worker.avoidUntil = std::max(worker.avoidUntil, now + kCapacityRetryDelay);
        worker.nextPoll = now;
        break;
    case CallResult::TicketRejected:
        m_tickets.removeTicket({command.task.job, command.task.occurrence, command.task.step},
                               command.worker);
        break;
    case CallResult::RunTooOld:
    case CallResult::TooLate:
    case CallResult::Fenced:
    case CallResult::OtherIncarnation:
        worker.nextPoll = now;
        break;
    }
    if (run->phase != WorkerRun::Phase::Starting)
        return; // it is being stopped already
    if (run->mayHaveStarted) {
        if (result == CallResult::RunTooOld) {
            requestStop(*run, now); // it has been stopped or has ended
        } else if (run->startAttempts < m_settings.maxStartAttempts) {
            run->nextSend = now + m_settings.commandRetryDelay;
        } else {
            abandonStart(worker, *run, now);
            if (result == CallResult::Unknown)
                avoid(worker, "starts were not answered", now);
        }
        return;
    }
    const WorkerRun ended = *run;
    removeRun(worker, static_cast<std::size_t>(run - worker.runs.data()));
    unplace(ended, now);
    noteNotStarted(ended.task);
}

void Scheduler::onStopResult(const StopCommand &command, CallResult result, Instant now)
{
    const auto [answering, run] = updateCommandedRun(command, result, now);
    if (!run)
        return;
    WorkerState &worker = *answering;
    if (result == CallResult::Ok && !isForEarlierIncarnation(worker, command.started)) {
        run->isStopConfirmed = true;
        run->stopConfirmedAt = now;
        worker.nextPoll = std::min(worker.nextPoll, now + m_settings.pollSpacing);
        return;
    }
    run->nextSend = now + m_settings.commandRetryDelay * (1 + std::min(worker.failedPolls, 3));
}

void Scheduler::onCpuLimitResult(const CpuLimitCommand &command, CallResult result, Instant)
{
    const auto found = m_workers.find(command.worker);
    if (found == m_workers.end())
        return;
    if (WorkerRun *run = findRun(found->second, command.task, command.run)) {
        run->isCpuLimitInFlight = false;
        if (result == CallResult::Ok)
            run->cpuLimitPercent = command.percent;
    }
}

void Scheduler::onPollResult(const PollRequest &request, CallResult result,
                             const WorkerStatus &status, Instant sent, Instant now)
{
    WorkerState *answering = updateCommandedWorker(request.worker, request.started, result, now);
    if (!answering)
        return;
    WorkerState &worker = *answering;
    worker.isPollInFlight = false;
    if (worker.hasTerminated)
        return; // a late answer
    if (result == CallResult::Withheld) {
        worker.nextPoll = now + m_settings.commandRetryDelay;
        return;
    }
    const bool isForEarlier = isForEarlierIncarnation(worker, request.started);
    if (isForEarlier && (result != CallResult::Ok || status.started != worker.info.started)) {
        worker.nextPoll = now;
        return;
    }
    if (result == CallResult::Ok && !noteIncarnation(worker, status.started, now))
        result = CallResult::OtherIncarnation; // counts as a failed poll
    if (result != CallResult::Ok) {
        ++worker.failedPolls;
        constexpr int kMaxBackoffFactor = 4;
        worker.nextPoll = now
            + m_settings.commandRetryDelay * std::min(worker.failedPolls, kMaxBackoffFactor);
        logDecision({"look_failed",
                     {{"worker", request.worker.name()},
                      {"result", nameOf(result)},
                      {"failures", std::to_string(worker.failedPolls)},
                      {"runs", std::to_string(worker.runs.size())}},
                     true});
        return;
    }
    if (worker.failedPolls > 0)
        m_needsPlacement = true;
    worker.failedPolls = 0;
    worker.lastAnswer = now;
    if (!isForEarlierIncarnation(worker, request.started)) {
        worker.lastAcknowledgedEnd = std::max(worker.lastAcknowledgedEnd, request.acknowledgedEnd);
        worker.clock.recordConfirmed(request.leaseExpiry);
    }
    handleStatus(worker, status, sent, now);
}

void Scheduler::onAdviceResult(const AdviceRequest &request, bool isAnswered,
                               const std::vector<std::pair<WorkerId, std::string>> &tickets,
                               Instant now)
{
    const auto job = m_jobs.find(request.job);
    Millis lifetime{0};
    if (job != m_jobs.end() && job->second.spec.queue.advice)
        lifetime = job->second.spec.queue.advice->ticketLifetime;
    const TicketCache::StepKey step{request.job, request.occurrence, request.step};
    if (!isAnswered) {
        if (m_active.contains(request.job))
            m_tickets.handleFailure(step, now + kAdviceRetryDelay);
        return;
    }
    m_tickets.handleAnswer(step, request.workers, tickets, now + lifetime);
    m_needsPlacement = true;
}

void Scheduler::onProgressWritten(std::uint64_t batch, bool isDurable, Instant now)
{
    if (m_batchInFlight != batch)
        return;
    m_batchInFlight.reset();
    constexpr Millis kWriteRetryDelay{100};
    if (!isDurable) {
        m_nextRecordTime = now + kWriteRetryDelay;
        for (const JobId id : m_batchJobs) {
            if (const auto found = m_jobs.find(id); found != m_jobs.end())
                markDirty(found->second);
        }
        m_expiredJobs.insert(m_expiredJobs.end(), m_batchDropped.begin(), m_batchDropped.end());
        for (WorkerState *worker : m_workerList)
            worker->lastEndInBatch = 0;
        return;
    }
    for (const JobId id : m_batchJobs) {
        const auto found = m_jobs.find(id);
        if (found == m_jobs.end())
            continue;
        // A release that was decided while the write was in flight is not part of it.
        found->second.isReleaseRecorded = found->second.isReleaseRecorded
            || found->second.isReleaseInBatch;
        found->second.recordedCrashes = found->second.crashesInBatch;
        if (!found->second.isDirty) {
            found->second.isRecorded = true;
            indexEnded(found->second);
        }
        m_needsPlacement = true;
    }
    for (const JobId id : m_batchDropped)
        m_jobs.erase(id);
    for (WorkerState *worker : m_workerList) {
        worker->lastRecordedEnd = std::max(worker->lastRecordedEnd, worker->lastEndInBatch);
        worker->lastEndInBatch = 0;
    }
}

} // namespace oleanderhall
