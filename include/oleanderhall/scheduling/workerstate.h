#pragma once

#include "oleanderhall/scheduling/leaseclock.h"
#include "oleanderhall/scheduling/workerinfo.h"
#include "oleanderhall/scheduling/workerspeed.h"

#include "oleanderhall/core/ids.h"
#include "oleanderhall/core/time.h"
#include "oleanderhall/jobs/resources.h"
#include "oleanderhall/jobs/taskid.h"

#include <cstdint>
#include <string>
#include <vector>

namespace oleanderhall {

/// One run of a task on a worker, from the decision to start it until it is known to have ended.
struct WorkerRun
{
    enum class Phase {
        Starting, ///< The start was sent and is not confirmed yet.
        Running,
        Stopping, ///< To be stopped; its reservation still counts.
    };

    TaskId task;
    std::int64_t run = 0;
    Phase phase = Phase::Starting;
    Resources reservation; ///< Subtracted from the worker's free capacity.
    bool isNeedUnknown = false; ///< Its job's steps are not known; nothing starts beside it.
    TeamId team; ///< Of the job; empty if the job has none or isn't known.
    Resources need; ///< Counted against the team's cap, also what is not reserved.
    bool usesIdleCores = false; ///< Reserves no cores.
    bool isLongRunning = false;
    bool allowsCopies = false; ///< Another run of the task may be active at the same time.
    bool isIsolated = false; ///< Tasks of other jobs must not start on the worker.
    bool isCopy = false; ///< It was started while another run of the task was active.
    Millis latencyTarget{0};
    Millis expectedRunTime{0};
    bool showsSpeed = false; ///< Its run time depends on the worker's speed alone.
    double notedSlowness = 0; ///< As last recorded for the worker while the run was overdue.
    Instant startSent; ///< When the start was first sent.
    Instant runningSince; ///< When the run was first known to be active.
    Instant nextSend; ///< When to send the start or stop, or to repeat it.
    bool isCommandInFlight = false;
    int startAttempts = 0;
    bool mayHaveStarted = false; ///< A start command was not answered.
    /// When its start was given up; the epoch if it wasn't. The next status decides: a run that it
    /// lists goes on, and any other is stopped, as its start may still be carried out.
    Instant startAbandonedAt;
    bool isReported = false; ///< A status of the worker's present incarnation listed it as active.
    bool isStopConfirmed = false;
    Instant stopConfirmedAt;
    int progressPercent = 0;
    Instant lastProgress; ///< When `progressPercent` last changed.
    std::string checkpoint;
    std::int64_t recentLoad = 0;
    int cpuLimitPercent = 100; ///< As last confirmed by the worker.
    int targetCpuLimitPercent = 100;
    bool isCpuLimitInFlight = false;
    Instant overTargetSince; ///< Of a serving task; the epoch while it meets its target.
};

/// The owner's in-memory state of one worker.
struct WorkerState
{
    WorkerState(WorkerInfo entry, double clockDrift)
        : info(std::move(entry))
        , clock(clockDrift)
    {}

    WorkerInfo info;
    LeaseClock clock;
    std::vector<WorkerRun> runs;
    Resources used; ///< Sum of the reservations of `runs`.
    int runsOfUnknownNeed = 0; ///< Of `runs`.
    bool isListed = true; ///< It has an entry in service discovery.
    Instant listedAt; ///< When this owner first saw that entry.
    HostId host; ///< As of the latest list of hosts that contained the worker; empty before.
    bool isSynced = false; ///< This owner has raised its fencing token and read its runs.
    bool hasTerminated = false; ///< Another worker runs at its address, or its host was
                                ///< maintained.
    bool isCordoned = false; ///< Maintenance keeps new tasks off it.
    bool isTerminating = false; ///< A host command that ends all its runs is in flight.
    bool isPollInFlight = false;
    int failedPolls = 0; ///< Number of consecutive polls that failed.
    Instant restartedAt; ///< When this owner learned of its last restart; the epoch if never.
    Instant lastAnswer; ///< When the latest status arrived.
    Instant statusSent; ///< When the poll was sent that brought the latest status.
    /// Until then a command that this owner can't follow may end runs. A status whose poll was sent
    /// earlier doesn't show whether they go on.
    Instant distrustedUntil;
    Instant hostCommandUntil; ///< Until then a command to its host may end the worker.
    Instant nextPoll;
    Instant nextCpuLimitChange; ///< When the CPU limits of its runs may change again.
    std::int64_t lastHandledEnd = 0; ///< The highest sequence of an end that was handled.
    std::int64_t lastRecordedEnd = 0; ///< The highest sequence whose effect is durable.
    std::int64_t lastAcknowledgedEnd = 0; ///< The highest sequence that the worker may discard.
    std::int64_t lastEndInBatch = 0; ///< Becomes `lastRecordedEnd` once the write is durable.
    Instant avoidUntil; ///< It gets no new tasks before this time.
    WorkerSpeed speed;
    int timesAvoided = 0; ///< Since a task last succeeded here; each time doubles the delay.
    /// The job of the last run that failed here. If a run of another job fails next, the worker is
    /// avoided.
    JobId lastFailedJob;

    /// Returns the capacity that its runs leave, which is negative if it has shrunk below their
    /// needs.
    Resources freeCapacity() const
    {
        return runsOfUnknownNeed > 0 ? Resources() : info.capacity - used;
    }
    /// Returns whether its runs need, or may need, more than its capacity, which may have shrunk
    /// since they were placed.
    bool isOverCapacity() const { return runsOfUnknownNeed > 0 || !used.fitsInto(info.capacity); }
    bool acceptsNewTasks(Instant now) const
    {
        return isListed && isSynced && !hasTerminated && !isCordoned && !isTerminating
            && !info.isDraining && failedPolls == 0 && now >= avoidUntil;
    }
};

} // namespace oleanderhall
