#pragma once

#include "oleanderhall/core/time.h"
#include "oleanderhall/fleet/fleetstate.h"
#include "oleanderhall/fleet/observations.h"
#include "oleanderhall/fleet/poolplan.h"

#include <map>
#include <utility>

namespace oleanderhall {

/// The timeouts of a PoolPlanner.
struct PlannerSettings
{
    /// How long an instance may take to start before its host counts as failed.
    Millis instanceStartTimeout{10000};
    /// The time after a change during which an entry host that has not acknowledged the change may
    /// still route to other zones by an older view: the duration of the view lease plus a margin.
    Millis viewExpiry{4000};
};

/// Decides the next steps for the hosts of one pool: joins, drains, reboots, moves, removals and
/// the placement of instances. Does no I/O. Any number of planners may decide for one pool at the
/// same time, because a plan can only be committed on the state on which it was decided. The
/// planner's own data (when it first read a version of a record, and the start failures of each
/// host) is not persistent; losing it only delays decisions.
class PoolPlanner
{
public:
    explicit PoolPlanner(PoolId pool, PlannerSettings settings = {});

    /// Returns the next steps. The changes must be committed as the entry that directly follows
    /// `state.sequence()`, or discarded.
    PoolPlan decide(const FleetState &state, const Observations &observations, Instant now);

    PoolId pool() const { return m_pool; }

private:
    /// The version of a record that the planner read last, and when it first read that version.
    struct RecordVersion
    {
        Sequence changedAt;
        Instant firstReadAt;
    };

    /// Returns how long ago the planner first read this version of `record`.
    Millis timeSinceChange(const HostRecord &record, Instant now);

    PoolId m_pool;
    PlannerSettings m_settings;
    std::map<HostId, RecordVersion> m_observedChanges;
    std::map<HostId, int> m_startFailures; ///< Consecutive failed starts of instances.
};

} // namespace oleanderhall
