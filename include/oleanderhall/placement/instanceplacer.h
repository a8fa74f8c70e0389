#pragma once

#include "oleanderhall/core/ids.h"

#include <vector>

namespace oleanderhall {

/// A PlacementCandidate is a host on which an instance could run.
struct PlacementCandidate
{
    HostId host;
    ZoneId zone;
    RackId rack;
    int instances = 0; ///< Instances of all services on it.
    int startFailures = 0; ///< Failed starts of instances on it.
    bool holdsService = false; ///< It already runs an instance of the service.
};

/// Returns `wanted` hosts for new instances of one service, or fewer if there are not enough
/// candidates. Hosts with fewer failed starts are preferred; among those, instances are spread
/// first over zones, then over racks. Hosts that already hold the service count towards the spread
/// and are never chosen.
std::vector<HostId> chooseInstanceHosts(const std::vector<PlacementCandidate> &candidates,
                                        int wanted);

} // namespace oleanderhall
