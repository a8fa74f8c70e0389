#include "oleanderhall/fleet/poolplanner.h"

#include "poolstep.h"

namespace oleanderhall {

PoolPlanner::PoolPlanner(PoolId pool, PlannerSettings settings)
    : m_pool(pool)
    , m_settings(settings)
{}

PoolPlan PoolPlanner::decide(const FleetState &state, const Observations &observations, Instant now)
{
    PoolStep step(state, observations, m_pool, m_settings, m_startFailures);
    for (const HostId host : state.hostsOf(m_pool)) {
        const HostRecord &record = *state.record(host);
        step.advanceHost(record, timeSinceChange(record, now));
    }
    step.admitNewHosts();
    step.placeInstances();
    step.admitDisruptions();
    step.advanceWave();
    return step.takePlan();
}

Millis PoolPlanner::timeSinceChange(const HostRecord &record, Instant now)
{
    RecordVersion &observedChange = m_observedChanges
                                        .try_emplace(record.id,
                                                     RecordVersion{record.changedAt, now})
                                        .first->second;
    if (observedChange.changedAt != record.changedAt)
        observedChange = {record.changedAt, now};
    return std::chrono::duration_cast<Millis>(now - observedChange.firstReadAt);
}

} // namespace oleanderhall
