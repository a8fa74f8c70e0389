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
    /// Counts an available `host` as unavailable for a planned reason.
    void recordDisruption(HostId host);
    /// Counts a failed host as unavailable. Has no effect if it was not available before.
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
