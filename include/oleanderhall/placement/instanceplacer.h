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
    int instances = 0; ///< Instances of any service that it holds.
    int startFailures = 0; ///< Instances that failed to start on it.
    bool holdsService = false;
};

/// Chooses `wanted` hosts for new instances of one service, spread first over zones, then over
/// racks. Hosts on which starts failed come last. Hosts that already hold the service count for the
/// spread and are never chosen. Returns fewer when there are not enough candidates.
std::vector<HostId> chooseInstanceHosts(const std::vector<PlacementCandidate> &candidates,
                                        int wanted);

} // namespace oleanderhall
