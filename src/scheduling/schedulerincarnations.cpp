// Workers that restart under their previous id: which runs have ended with the earlier process, and
// which messages belong to it.
#include "oleanderhall/scheduling/scheduler.h"

namespace oleanderhall {

namespace {

/// A worker without an answer for this long may have restarted unnoticed. A worker with runs is
/// polled again sooner after each answer.
constexpr Millis kUnnoticedRestartTime{500};

} // namespace

/// Returns whether a message that was meant for the incarnation `started` was sent before this
/// owner knew of the worker's present one.
bool Scheduler::isForEarlierIncarnation(const WorkerState &worker, WorkerStartTime started)
{
    return started.value != 0 && started < worker.info.started;
}

/// Returns whether what came from the incarnation `started` of the worker is about the present one.
/// A later start time than the known one makes that incarnation the present one.
bool Scheduler::noteIncarnation(WorkerState &worker, WorkerStartTime started, Instant now)
{
    if (started.value == 0 || started == worker.info.started)
        return true;
    if (started < worker.info.started) {
        logDecision({"earlier_incarnation_ignored", {{"worker", worker.info.id.name()}}});
        return false;
    }
    if (worker.info.started.value == 0)
        worker.info.started = started; // reported for the first time
    else
        beginIncarnation(worker, started, now);
    return true;
}

void Scheduler::beginIncarnation(WorkerState &worker, WorkerStartTime started, Instant now)
{
    onWorkerCrashed(worker, now);
    const std::size_t runs = worker.runs.size();
    worker.info.started = started;
    worker.restartedAt = now;
    worker.listedAt = now;
    worker.host = {}; // until a list of hosts shows the new process
    worker.hasTerminated = false;
    worker.isSynced = false;
    worker.failedPolls = 0;
    worker.nextPoll = now;
    worker.clock = LeaseClock(m_settings.clockDrift);
    worker.lastHandledEnd = 0;
    worker.lastRecordedEnd = 0;
    worker.lastAcknowledgedEnd = 0;
    worker.lastEndInBatch = 0;
    for (std::size_t index = 0; index < worker.runs.size();) {
        WorkerRun &run = worker.runs[index];
        if (!run.isReported) {
            // Its start or stop may have reached either process; the next status shows it.
            run.isStopConfirmed = false;
            run.nextSend = now;
            if (const TrackedTask *task = findTask(run.task); task && isSuspected(*task))
                requestStop(run, now); // it must not start beside other jobs
            ++index;
            continue;
        }
        const WorkerRun ended = run;
        removeRun(worker, index);
        if (TrackedTask *task = findTask(ended.task); task && !ended.checkpoint.empty())
            task->checkpoint = ended.checkpoint;
        unplace(ended, now);
    }
    logDecision({"worker_restarted",
                 {{"worker", worker.info.id.name()},
                  {"runs_ended", std::to_string(runs - worker.runs.size())},
                  {"runs_uncertain", std::to_string(worker.runs.size())}},
                 true});
    m_needsPlacement = true;
}

/// Returns whether the worker may have restarted without this owner's knowledge. Such a process
/// would discard its own ended runs if it were told the numbers of an earlier one.
bool Scheduler::mayHaveRestarted(const WorkerState &worker, Instant now)
{
    return worker.info.started.value != 0
        && (worker.failedPolls > 0 || now - worker.lastAnswer > kUnnoticedRestartTime);
}

/// Returns whether the runs of an unresponsive worker have certainly ended.
bool Scheduler::haveAllLeasesExpired(const WorkerState &worker, Instant now, Millis slack) const
{
    if (worker.clock.isKnown() || worker.restartedAt == Instant{})
        return worker.clock.allLeasesExpired(now, slack);
    // Nothing has been heard from the new process. Commands for the earlier one may have reached
    // it, so it may have granted the longest lease.
    const std::chrono::duration<double> silent = now - worker.restartedAt;
    return silent * (1 - m_settings.clockDrift) > m_settings.maxWorkerLease + slack;
}

} // namespace oleanderhall
