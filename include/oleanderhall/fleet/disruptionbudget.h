#pragma once

#include "oleanderhall/fleet/fleetstate.h"
#include "oleanderhall/fleet/observations.h"

#include <optional>
#include <set>
#include <string>

namespace oleanderhall {

/// A DisruptionBudget counts what a pool has left of its availability budget, planned and unplanned
/// unavailability together. Count it anew for each decision; admit() keeps it right within one.
class DisruptionBudget
{
public:
    /// Counts the hosts of `pool`. A host that serves but isn't seen fit counts as unavailable.
    DisruptionBudget(const FleetState &state, PoolId pool, const Observations &observations);

    /// Returns why `host` may not be taken out now, or nothing when it may.
    std::optional<std::string> refusalReason(HostId host) const;
    /// Counts `host` as taken out by plan.
    void recordDisruption(HostId host);
    /// Counts a host that was found lost as unavailable.
    void recordLoss(const HostRecord &record);

    int available() const { return m_available; }
    int unavailable() const { return m_unavailable; }

private:
    bool isAvailable(const HostRecord &record) const;
    RackId rackOf(HostId host) const;

    const FleetState &m_state;
    const Observations &m_observations;
    PoolRule m_rule;
    int m_available = 0;
    int m_unavailable = 0;
    std::set<RackId> m_disruptedRacks;
};

} // namespace oleanderhall
