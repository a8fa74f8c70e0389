#pragma once

#include "oleanderhall/jobs/queueconfig.h"

#include <optional>
#include <string_view>
#include <vector>

namespace oleanderhall {

/// One pool of workers of the configuration.
struct PoolConfig
{
    ServiceId service;
    bool rejectsOverload = false; ///< Its workers turn away what does not fit.
    bool isSpare = false; ///< Its hosts are off and cost nothing.
};

/// The operators' configuration in force.
struct FleetConfig
{
    ConfigVersion version;
    std::vector<QueueConfig> queues;
    std::vector<PoolConfig> pools;

    /// Returns the queue whose host matches and whose prefix is the longest that `path` begins
    /// with, or nothing.
    const QueueConfig *find(std::string_view host, std::string_view path) const
    {
        const QueueConfig *best = nullptr;
        for (const QueueConfig &queue : queues) {
            if (queue.host == host && path.substr(0, queue.prefix.size()) == queue.prefix
                && (!best || queue.prefix.size() > best->prefix.size()))
                best = &queue;
        }
        return best;
    }
};

} // namespace oleanderhall
