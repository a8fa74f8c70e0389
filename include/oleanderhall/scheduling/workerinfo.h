#pragma once

#include "oleanderhall/core/ids.h"
#include "oleanderhall/jobs/resources.h"

#include <string>
#include <vector>

namespace oleanderhall {

/// Names one life of a host's worker process. A worker that restarts has a new id.
using WorkerId = StrongId<struct WorkerTag>;

/// What a worker's entry in service discovery says of it.
struct WorkerInfo
{
    WorkerId id;
    ServiceId pool;
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
