#pragma once

#include <cstdint>
#include <string>

namespace oleanderhall {

/// The number of jobs of one queue that wait at the owner.
struct QueueLoad
{
    std::string queue;
    /// Accepted jobs of which no task has started, as far as is known. This includes jobs whose
    /// first start was sent a while ago and is still not confirmed.
    std::int64_t waitingJobs = 0;
    /// Jobs of which a task was sent to a worker, and no worker has confirmed one yet.
    std::int64_t unconfirmedJobs = 0;
};

} // namespace oleanderhall
