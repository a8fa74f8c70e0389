#pragma once

#include "oleanderhall/core/ids.h"
#include "oleanderhall/core/time.h"

#include <optional>
#include <string>

namespace oleanderhall {

/// Limits for requests to a queue's policy service, which decides on which workers a step may run.
struct AdviceConfig
{
    Millis decisionTime{0}; ///< The fixed part of the time for an answer.
    Millis timePerWorker{0}; ///< The further time for each worker in the request.
    Millis ticketLifetime{0}; ///< How long a ticket of the service is valid.
};

/// The configuration of one queue: where callers reach it and how its jobs run.
struct QueueConfig
{
    std::string name;
    std::string host; ///< The value of the callers' Host header.
    std::string prefix; ///< The path up to the job's id.
    PoolId pool; ///< The pool of workers that runs the queue's tasks.
    int priority = 0; ///< 0 is the highest.
    int maxAttempts = 1; ///< Failed runs of a task after which its job fails.
    /// The objective for a job's completion time is `stretch` times its critical path, plus
    /// `allowance`.
    double stretch = 1;
    Millis allowance{0};
    Millis callerTimeout{0}; ///< The time limit of one request of a caller.
    std::optional<AdviceConfig> advice;
    bool isPublic = true; ///< Callers need no key; otherwise each call carries a team's key.
};

} // namespace oleanderhall
