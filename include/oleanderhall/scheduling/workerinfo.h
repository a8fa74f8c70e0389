#pragma once

#include "oleanderhall/core/ids.h"
#include "oleanderhall/jobs/resources.h"

#include <string>
#include <vector>

namespace oleanderhall {

/// Identifies one incarnation of a host's worker process; a restarted worker has a new id.
using WorkerId = StrongId<struct WorkerTag>;

/// A worker's entry in service discovery.
struct WorkerInfo
{
    WorkerId id;
    PoolId pool;
    std::string address; ///< IP and port.
    ZoneId zone;
    bool isDraining = false;
    Resources capacity;
    std::vector<std::string> labels;

    bool hasLabel(const std::string &label) const
    {
        for (const std::string &own : labels) {
            if (own == label)
                return true;
        }
        return false;
    }
    friend bool operator==(const WorkerInfo &, const WorkerInfo &) = default;
};

} // namespace oleanderhall
