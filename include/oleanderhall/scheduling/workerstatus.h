#pragma once

#include "oleanderhall/core/time.h"
#include "oleanderhall/jobs/taskid.h"
#include "oleanderhall/scheduling/workerinfo.h"

#include <cstdint>
#include <string>
#include <vector>

namespace oleanderhall {

/// A run that a worker reports as active.
struct ActiveRun
{
    TaskId task;
    std::int64_t run = 0;
    std::string checkpoint;
    int progressPercent = 0; ///< For a long-running task, 100 once it is ready.
    /// Tail latency in milliseconds of a serving task; for others the used CPU in millicores.
    std::int64_t recentLoad = 0;
};

/// How a run ended. Only `Failed` counts as a failed attempt of its task.
enum class RunOutcome {
    Done,
    Failed,
    Stopped,
    LeaseExpired,
    /// The run ended because another member of its gang ended. On the wire "broken", in logs 4.
    GangMemberEnded,
    /// The run waited for the other members of its gang until the gang time-out. On the wire
    /// "alone", in logs 5.
    GangTimeout
};

/// An ended run, which the worker reports until it is acknowledged.
struct EndedRun
{
    std::int64_t sequence = 0; ///< Counts ended runs from 1 in each incarnation of a worker.
    TaskId task;
    std::int64_t run = 0;
    RunOutcome runOutcome = RunOutcome::Failed;
    std::string checkpoint;
};

/// A worker's answer to a poll: its active runs and its unacknowledged ended runs.
struct WorkerStatus
{
    Millis clock{0}; ///< The worker's monotonic clock when it answered.
    WorkerStartTime started; ///< Of the incarnation that answered.
    std::vector<ActiveRun> running;
    std::vector<EndedRun> ended;
    bool hasUnreadableActiveRuns = false; ///< Other runs than those of `running` may be active.
    bool hasUnreadableEnds = false; ///< Other runs than those of `ended` have ended.
};

} // namespace oleanderhall
