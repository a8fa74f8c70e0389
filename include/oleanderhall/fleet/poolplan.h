#pragma once

#include "oleanderhall/fleet/change.h"
#include "oleanderhall/fleet/workercommand.h"

#include <map>
#include <string>
#include <vector>

namespace oleanderhall {

/// A PoolPlan is what a PoolPlanner decided: changes to commit as one log entry, commands that hold
/// by the state already committed, and why hosts wait.
struct PoolPlan
{
    std::vector<Change> changes;
    std::string reason;
    std::vector<WorkerCommand> commands;
    std::map<HostId, std::string> waitReasons;
};

} // namespace oleanderhall
