#pragma once

#include "oleanderhall/fleet/change.h"
#include "oleanderhall/fleet/workercommand.h"

#include <map>
#include <string>
#include <vector>

namespace oleanderhall {

/// The result of a decision of a PoolPlanner.
struct PoolPlan
{
    std::vector<Change> changes; ///< To be committed as one log entry.
    std::string reason; ///< The reason of that log entry.
    std::vector<WorkerCommand> commands; ///< Independent of `changes`; follow from committed state.
    std::map<HostId, std::string> waitReasons; ///< Why the next step of a host is deferred.
};

} // namespace oleanderhall
