#pragma once

#include "oleanderhall/jobs/jobprogress.h"
#include "oleanderhall/scheduling/workerinfo.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace oleanderhall {

/// Starts a run, which is one numbered attempt to execute a task. Idempotent for the same run.
struct StartCommand
{
    WorkerId worker;
    WorkerStartTime started; ///< Of the incarnation that it is meant for.
    TaskId task;
    std::int64_t run = 0;
    std::string payload;
    std::string checkpoint;
    std::string ticket; ///< Empty if the queue has no policy service.
    Millis leaseExpiry{0}; ///< On the worker's clock.
};

/// Stops a run. If its start command arrives later, the worker refuses it.
struct StopCommand
{
    WorkerId worker;
    WorkerStartTime started; ///< Of the incarnation that it is meant for.
    TaskId task;
    std::int64_t run = 0;
};

/// Limits a run to a percentage of the processor.
struct CpuLimitCommand
{
    WorkerId worker;
    TaskId task;
    std::int64_t run = 0;
    int percent = 100;
};

/// Raises the worker's fencing token, extends the lease of all its runs, and reads which runs are
/// active and which have ended.
struct PollRequest
{
    WorkerId worker;
    WorkerStartTime started; ///< Of the incarnation that it is meant for.
    std::int64_t acknowledgedEnd = 0; ///< The worker may discard ended runs up to this sequence.
    Millis leaseExpiry{0}; ///< On the worker's clock; 0 leaves the lease unchanged.
    Millis answerTime{500}; ///< How long the worker may take to answer beyond `maxWait`.
    Millis maxWait{0}; ///< Long poll: the worker may delay its answer until a run ends.
};

/// Asks the queue's policy service which of the workers may run a step.
struct AdviceRequest
{
    JobId job;
    int occurrence = 0;
    int step = 0;
    std::vector<WorkerId> workers;
};

/// Stores the progress of jobs and deletes the records of expired ones in one transaction.
struct ProgressWrite
{
    std::uint64_t batch = 0;
    std::vector<JobProgress> updates;
    std::vector<JobId> droppedJobs;
};

/// An action that the Scheduler requests; its caller carries it out and reports the result.
using SchedulerAction = std::variant<StartCommand, StopCommand, CpuLimitCommand, PollRequest,
                                     AdviceRequest, ProgressWrite>;

} // namespace oleanderhall
