#pragma once

#include "oleanderhall/core/time.h"
#include "oleanderhall/jobs/taskid.h"

#include <cstdint>
#include <string>
#include <vector>

namespace oleanderhall {

/// One run that a worker reports as present.
struct ActiveRun
{
    TaskId task;
    std::int64_t run = 0;
    std::string checkpoint;
    int progressPercent = 0; ///< Of the work; of a long-running task, 100 once it is at work.
    /// Tail latency in milliseconds of a serving task; else the cores in use, in thousandths.
    std::int64_t recentLoad = 0;
};

/// How a run ended.
enum class RunOutcome { Done, Failed, Stopped, LeaseExpired, Broken, Alone };

/// One ended run that a worker keeps until it is acknowledged.
struct EndedRun
{
    std::int64_t sequence = 0; ///< Counts the worker's ends from 1 in each life.
    TaskId task;
    std::int64_t run = 0;
    RunOutcome runOutcome = RunOutcome::Failed;
    std::string checkpoint;
};

/// A worker's answer to a look: what runs there and what has ended.
struct WorkerStatus
{
    Millis clock{0}; ///< The worker's own steady clock when it answered.
    std::vector<ActiveRun> running;
    std::vector<EndedRun> ended;
};

} // namespace oleanderhall
