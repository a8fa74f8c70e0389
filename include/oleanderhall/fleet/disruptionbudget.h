#pragma once

#include "oleanderhall/fleet/fleetstate.h"
#include "oleanderhall/fleet/observations.h"

#include <optional>
#include <set>
#include <string>

namespace oleanderhall {

/// The availability budget of a pool. Planned and unplanned unavailability count alike, except that
/// the limit on racks counts planned disruptions only. Construct a new budget for each decision;
/// recordDisruption() and recordLoss() update it within a decision.
class DisruptionBudget
{
public:
    /// Counts the available hosts of `pool`: those that are Serving, observed healthy and run their
    /// instances. Keeps references to `state` and `observations`.
    DisruptionBudget(const FleetState &state, PoolId pool, const Observations &observations);

    /// Returns why the budget forbids taking `host` out of service, or nothing if it allows it.
    std::optional<std::string> refusalReason(HostId host) const;
    /// Counts `host` as unavailable, and its rack as disrupted: it is drained for a planned reason
    /// or because it leaves the fleet. Has no effect if it was recorded before.
    void recordDisruption(HostId host);
    /// Counts a failed host as unavailable. Has no effect if it was not available before.
    void recordLoss(HostId host) { m_availableHosts.erase(host); }

    int available() const { return static_cast<int>(m_availableHosts.size()); }
    int unavailable() const { return m_hostCount - available(); }

private:
    bool isAvailable(const HostRecord &record) const;
    RackId rackOf(HostId host) const;

    const FleetState &m_state;
    const Observations &m_observations;
    PoolRule m_rule;
    int m_hostCount = 0; ///< Hosts of the pool, available or not.
    std::set<HostId> m_availableHosts;
    std::set<RackId> m_disruptedRacks;
};

} // namespace oleanderhall
