#pragma once

#include <cstdint>
#include <string>

namespace oleanderhall {

/// How much of one queue is waiting at its owner.
struct QueueLoad
{
    std::string queue;
    std::int64_t waitingJobs = 0; ///< Accepted jobs of which no task has started.
};

} // namespace oleanderhall
