#pragma once

#include "oleanderhall/core/ids.h"

#include <map>

namespace oleanderhall {

/// What the work of one pool asks of its hosts.
struct PoolDemand
{
    double cores = 0; ///< That finish the accepted work in time, and what arrives meanwhile.
    double longRunningCores = 0; ///< Of tasks that run until they are cancelled.
    int minHosts = 0; ///< That let tasks be spread as their steps ask.
};

using PoolDemands = std::map<ServiceId, PoolDemand>;

} // namespace oleanderhall
