#pragma once

#include "oleanderhall/jobs/queueconfig.h"
#include "oleanderhall/teams/teamconfig.h"

#include <optional>
#include <string_view>
#include <vector>

namespace oleanderhall {

/// The configuration of one pool of workers.
struct PoolConfig
{
    PoolId id;
    bool rejectsOverload = false; ///< Its workers reject tasks that exceed their free capacity.
    bool isSpare = false; ///< Its hosts are off and cause no cost.
};

/// The operators' configuration that is currently in force.
struct FleetConfig
{
    ConfigVersion version;
    std::vector<QueueConfig> queues;
    std::vector<PoolConfig> pools;
    std::vector<TeamConfig> teams; ///< Empty in a deployment that doesn't tell teams apart.

    /// Returns the queue of `host` with the longest prefix that `path` starts with, or nullptr.
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
