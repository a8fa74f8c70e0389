#pragma once

#include "oleanderhall/scheduling/leaseclock.h"
#include "oleanderhall/scheduling/workerinfo.h"

#include "oleanderhall/core/time.h"
#include "oleanderhall/jobs/taskid.h"

#include <cstdint>
#include <string>
#include <vector>

namespace oleanderhall {

/// One run of a task on a worker, from the decision to start it until it is known to be over.
struct WorkerRun
{
    enum class Phase {
        Starting, ///< Ordered, and not yet known to be there.
        Running,
        Stopping, ///< To be stopped; it still counts against the worker's room.
    };

    TaskId task;
    std::int64_t run = 0;
    Phase phase = Phase::Starting;
    Resources reservation; ///< That count against the worker's room.
    bool usesIdleCores = false;
    bool isLongRunning = false;
    Millis latencyTarget{0};
    Instant startSent; ///< When the start was first sent.
    Instant runningSince; ///< When the run was first known to be there.
    Instant nextSend; ///< When a start or stop is to be sent (again).
    bool isCommandInFlight = false;
    int startAttempts = 0;
    bool mayHaveStarted = false; ///< A start of it went unanswered.
    bool isStopConfirmed = false;
    Instant stopConfirmedAt;
    int progressPercent = 0;
    Instant lastProgress; ///< When `percent` last rose.
    std::string checkpoint;
    std::int64_t recentLoad = 0;
    int cpuLimitPercent = 100;
    int targetCpuLimitPercent = 100;
    bool isCpuLimitInFlight = false;
    Instant overTargetSince; ///< Of a serving task; epoch when under its target.
};

/// What the owner knows of one worker.
struct WorkerState
{
    WorkerState(WorkerInfo entry, double clockDrift)
        : info(std::move(entry))
        , clock(clockDrift)
    {}

    WorkerInfo info;
    LeaseClock clock;
    std::vector<WorkerRun> runs;
    Resources used;
    bool isListed = true; ///< Its entry is in service discovery.
    bool isSynced = false; ///< Its fence was raised and its runs read by this owner.
    bool hasTerminated = false; ///< Another life answered at its address.
    bool isCordoned = false; ///< Maintenance wants no new tasks here.
    bool isTerminating = false; ///< An order to its host that ends everything here is under way.
    bool isPollInFlight = false;
    int failedPolls = 0; ///< Calls in a row without an answer.
    Instant nextPoll;
    Instant nextCpuLimitChange; ///< When the pace of filling runs may change again.
    std::int64_t lastHandledEnd = 0; ///< The highest end that was acted on.
    std::int64_t lastRecordedEnd = 0; ///< The highest end whose effect is durable.
    std::int64_t lastAcknowledgedEnd = 0; ///< The highest end that the worker was told to forget.
    std::int64_t lastEndInBatch = 0; ///< Becomes `recorded` with the batch in flight.
    Instant avoidUntil;
    int timesAvoided = 0;
    JobId lastFailedJob; ///< Of the latest failed run; others must fail before it is held bad.

    Resources freeCapacity() const { return info.capacity - used; }
    bool acceptsNewTasks(Instant now) const
    {
        return isListed && isSynced && !hasTerminated && !isCordoned && !isTerminating
            && !info.isDraining && failedPolls == 0 && now >= avoidUntil;
    }
};

} // namespace oleanderhall
