#include "oleanderhall/fleet/disruptionbudget.h"

namespace oleanderhall {

DisruptionBudget::DisruptionBudget(const FleetState &state, PoolId pool,
                                   const Observations &observations)
    : m_state(state)
    , m_observations(observations)
{
    const auto rule = state.config().pools.find(pool);
    if (rule != state.config().pools.end())
        m_rule = rule->second;
    for (const HostId host : state.hostsOf(pool)) {
        const HostRecord &record = *state.record(host);
        ++m_hostCount;
        if (isAvailable(record))
            m_availableHosts.insert(host);
        if (record.state != HostState::Serving && record.disruption != Disruption::None)
            m_disruptedRacks.insert(rackOf(host));
    }
}

std::optional<std::string> DisruptionBudget::refusalReason(HostId host) const
{
    if (m_state.record(host) && !m_availableHosts.contains(host))
        return "the host itself is unavailable";
    if (available() - 1 < m_rule.minAvailable)
        return "minAvailable " + std::to_string(m_rule.minAvailable) + " is reached with "
            + std::to_string(available()) + " available";
    if (unavailable() + 1 > m_rule.maxUnavailable)
        return "maxUnavailable " + std::to_string(m_rule.maxUnavailable) + " is exhausted";
    std::set<RackId> racks = m_disruptedRacks;
    racks.insert(rackOf(host));
    if (static_cast<int>(racks.size()) > m_rule.maxDisruptedRacks)
        return "maxDisruptedRacks " + std::to_string(m_rule.maxDisruptedRacks) + " is exhausted";
    return std::nullopt;
}

void DisruptionBudget::recordDisruption(HostId host)
{
    m_availableHosts.erase(host);
    m_disruptedRacks.insert(rackOf(host));
}

bool DisruptionBudget::isAvailable(const HostRecord &record) const
{
    return record.state == HostState::Serving
        && m_observations.currentFor(record).health == Health::Healthy
        && !hasLostInstances(record, m_observations);
}

RackId DisruptionBudget::rackOf(HostId host) const
{
    const HostSpec *spec = m_state.spec(host);
    // The rack of a host that is no longer in the register is unknown. Counting it as a rack of
    // its own is the strictest assumption.
    return spec ? spec->rack : RackId("host:" + host.name());
}

} // namespace oleanderhall
