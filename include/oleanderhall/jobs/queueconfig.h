#pragma once

#include "oleanderhall/core/ids.h"
#include "oleanderhall/core/time.h"

#include <optional>
#include <string>

namespace oleanderhall {

/// How a queue's policy service is asked which workers may run a step.
struct AdviceConfig
{
    Millis decisionTime{0};
    Millis timePerWorker{0};
    Millis ticketLifetime{0};
};

/// A QueueConfig is one queue of the configuration: where callers reach it and how its jobs run.
struct QueueConfig
{
    std::string name;
    std::string host; ///< The Host header that callers send.
    std::string prefix; ///< The path prefix; the job's id follows it.
    ServiceId service; ///< The pool of workers that runs the queue's tasks.
    int priority = 0; ///< 0 comes first.
    int maxAttempts = 1; ///< Failed runs of a task before its job fails.
    double stretch = 1; ///< The time objective is this many times the longest chain of work...
    Millis allowance{0}; ///< ...and this much more.
    Millis timeout{0}; ///< For one call of a caller.
    std::optional<AdviceConfig> advice;
};

} // namespace oleanderhall
