#pragma once

#include "oleanderhall/core/ids.h"
#include "oleanderhall/jobs/resources.h"

#include <cstdint>

namespace oleanderhall {

/// What one team uses and waits for at the owner.
struct TeamLoad
{
    TeamId team; ///< Empty for jobs that belong to no team.
    double weight = 1;
    Resources running; ///< Over all pools, compared with `cap`.
    /// What earlier owners may have started in addition; compared with `cap`, too.
    Resources possiblyRunning;
    Resources cap; ///< 0 means no limit of that resource.
    double share = 0; ///< The highest share that the team uses of a pool, from 0 to 1.
    std::int64_t waitingJobs = 0; ///< Accepted jobs of which no task has started.
    std::int64_t overRateJobs = 0; ///< Those of them that the team sent beyond its rate.
    bool isAtCap = false; ///< A task of it was refused for its cap within the last second.
};

} // namespace oleanderhall
