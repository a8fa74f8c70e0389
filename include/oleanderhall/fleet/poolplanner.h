#pragma once

#include "oleanderhall/core/time.h"
#include "oleanderhall/fleet/fleetstate.h"
#include "oleanderhall/fleet/observations.h"
#include "oleanderhall/fleet/poolplan.h"

#include <map>
#include <utility>

namespace oleanderhall {

/// How patient a PoolPlanner is.
struct PlannerSettings
{
    Millis instanceStartTimeout{10000};
    /// How long after a change an entry host that acknowledges nothing may still send work to
    /// other zones by an older view: the view lease and a margin.
    Millis viewExpiry{4000};
};

/// A PoolPlanner decides the next steps for the hosts of one pool: joins, drains, reboots, moves,
/// removals and the placement of instances. It reads the state, what was seen and the time, and
/// returns typed changes; it does no I/O. Its own memory (when it first saw a record) may
/// be lost at any time and only delays decisions then. Any number of planners may decide for one
/// pool at once: each plan commits only on the very state that it was decided on.
class PoolPlanner
{
public:
    explicit PoolPlanner(PoolId pool, PlannerSettings settings = {});

    /// Decides on `state`. The plan's changes must be committed as the entry that follows
    /// `state.sequence()`, or not at all.
    PoolPlan decide(const FleetState &state, const Observations &observations, Instant now);

    PoolId pool() const { return m_pool; }

private:
    struct ObservedChange
    {
        Sequence changedAt;
        Instant firstSeen;
    };

    Millis timeSinceChange(const HostRecord &record, Instant now);

    PoolId m_pool;
    PlannerSettings m_settings;
    std::map<HostId, ObservedChange> m_observedChanges;
    std::map<HostId, int> m_startFailures;
};

} // namespace oleanderhall
