#include "oleanderhall/placement/instanceplacer.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace oleanderhall {

std::vector<HostId> chooseInstanceHosts(const std::vector<PlacementCandidate> &candidates,
                                        int wanted)
{
    std::map<ZoneId, int> perZone;
    std::map<RackId, int> perRack;
    std::vector<const PlacementCandidate *> eligible;
    for (const PlacementCandidate &candidate : candidates) {
        if (candidate.holdsService) {
            ++perZone[candidate.zone];
            ++perRack[candidate.rack];
        } else {
            eligible.push_back(&candidate);
        }
    }
    const auto cost = [&](const PlacementCandidate *candidate) {
        return std::make_tuple(candidate->startFailures, perZone[candidate->zone],
                               perRack[candidate->rack], candidate->instances, candidate->host);
    };
    std::vector<HostId> chosen;
    while (static_cast<int>(chosen.size()) < wanted && !eligible.empty()) {
        const auto best = std::min_element(
            eligible.begin(), eligible.end(),
            [&cost](const auto *left, const auto *right) { return cost(left) < cost(right); });
        ++perZone[(*best)->zone];
        ++perRack[(*best)->rack];
        chosen.push_back((*best)->host);
        eligible.erase(best);
    }
    return chosen;
}

} // namespace oleanderhall
