#pragma once

#include "oleanderhall/jobs/jobprogress.h"
#include "oleanderhall/scheduling/workerinfo.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace oleanderhall {

/// Start a run of a task. Idempotent for the same run.
struct StartCommand
{
    WorkerId worker;
    TaskId task;
    std::int64_t run = 0;
    std::string payload;
    std::string checkpoint;
    std::string ticket;
    Millis leaseExpiry{0}; ///< On the worker's clock.
};

/// Stop a run; a run that is not there yet is turned away for good.
struct StopCommand
{
    WorkerId worker;
    TaskId task;
    std::int64_t run = 0;
};

/// Limit a run to a share of the processor.
struct CpuLimitCommand
{
    WorkerId worker;
    TaskId task;
    std::int64_t run = 0;
    int percent = 100;
};

/// Raise the fence, extend the lease of everything on the worker, read what runs and has ended.
struct PollRequest
{
    WorkerId worker;
    std::int64_t acknowledgedEnd = 0; ///< Ends up to this number are recorded and may be forgotten.
    Millis leaseExpiry{0}; ///< On the worker's clock; 0 leaves the lease as it is.
    Millis maxWait{0}; ///< The answer may wait this long for an end.
};

/// Ask the queue's policy service which of the workers may run a step.
struct AdviceRequest
{
    JobId job;
    int occurrence = 0;
    int step = 0;
    std::vector<WorkerId> workers;
};

/// Write the progress of jobs, and drop the records of old ones, in one transaction.
struct ProgressWrite
{
    std::uint64_t batch = 0;
    std::vector<JobProgress> updates;
    std::vector<JobId> dropped;
};

using SchedulerAction = std::variant<StartCommand, StopCommand, CpuLimitCommand, PollRequest,
                                     AdviceRequest, ProgressWrite>;

} // namespace oleanderhall
