#pragma once

#include "oleanderhall/core/ids.h"

#include <map>

namespace oleanderhall {

/// The capacity that the accepted and expected work of one pool requires.
struct PoolDemand
{
    double cores = 0; ///< To finish accepted work, and work arriving meanwhile, in time.
    double longRunningCores = 0; ///< For tasks that run until they are cancelled.
    int minHosts = 0; ///< To respect the steps' limits of tasks per worker.
};

using PoolDemands = std::map<PoolId, PoolDemand>;

} // namespace oleanderhall
