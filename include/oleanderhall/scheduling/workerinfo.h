#pragma once

#include "oleanderhall/core/ids.h"
#include "oleanderhall/jobs/resources.h"

#include <string>
#include <vector>

namespace oleanderhall {

/// Identifies a host's worker process. A restarted worker usually has a new id; one that restarts
/// under its previous id has a later start time.
using WorkerId = StrongId<struct WorkerTag>;
/// When a worker process started, in milliseconds since 1970 on its host's clock. Distinguishes the
/// incarnations that have the same id; 0 if the platform doesn't report it.
using WorkerStartTime = StrongNumber<struct WorkerStartTimeTag>;

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
    WorkerStartTime started;

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
