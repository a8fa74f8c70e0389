#pragma once

#include <cstdint>
#include <string>

namespace oleanderhall {

/// The number of jobs of one queue that wait at the owner.
struct QueueLoad
{
    std::string queue;
    std::int64_t waitingJobs = 0; ///< Accepted jobs of which no task has started.
    /// Jobs of which a task was sent to a worker, and no worker has confirmed one yet.
    std::int64_t unconfirmedJobs = 0;
};

} // namespace oleanderhall
