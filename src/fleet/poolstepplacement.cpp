// The part of PoolStep that decides which hosts of the pool run which service instances.
#include "poolstep.h"

#include "oleanderhall/placement/instanceplacer.h"

#include <algorithm>

namespace oleanderhall {

namespace {

/// Returns the zone with the most instances. `perZone` must not be empty.
ZoneId fullestZone(const std::map<ZoneId, int> &perZone)
{
    return std::max_element(perZone.begin(), perZone.end(),
                            [](const auto &a, const auto &b) { return a.second < b.second; })
        ->first;
}

} // namespace

void PoolStep::placeInstances()
{
    for (const HostId host : m_state.hostsOf(m_pool)) {
        const HostRecord &record = *m_state.record(host);
        if (record.state == HostState::Serving && !isChanged(host) && canAddChange())
            removeObsoleteInstances(record);
    }
    for (const auto &[id, rule] : m_state.config().services) {
        if (rule.pool == m_pool)
            placeService(rule);
    }
}

void PoolStep::removeObsoleteInstances(const HostRecord &record)
{
    HostRecord next = record;
    std::erase_if(next.instances, [this](const InstanceRecord &instance) {
        const auto rule = m_state.config().services.find(instance.service);
        return rule == m_state.config().services.end() || rule->second.pool != m_pool;
    });
    if (next != record)
        changeHost(next, "a service no longer runs in the pool");
}

void PoolStep::placeService(const ServiceRule &rule)
{
    std::vector<PlacementCandidate> candidates;
    std::map<ZoneId, int> perZone;
    int placed = 0;
    int ready = 0;
    for (const HostId host : m_state.hostsOf(m_pool)) {
        const HostRecord &record = *m_state.record(host);
        const HostSpec *spec = m_state.spec(host);
        const InstanceRecord *instance = record.instanceOf(rule.id);
        if (record.state == HostState::Serving && instance) {
            ++placed;
            ready += instance->state == InstanceState::Ready ? 1 : 0;
            if (spec)
                ++perZone[spec->zone];
        }
        if (record.state != HostState::Serving || isChanged(host) || !spec || spec->pool != m_pool
            || m_observations.currentFor(record).leaving)
            continue;
        candidates.push_back({.host = host,
                              .zone = spec->zone,
                              .rack = spec->rack,
                              .instances = static_cast<int>(record.instances.size()),
                              .startFailures = m_startFailures[host],
                              .holdsService = instance != nullptr});
    }
    // The first instances are placed only after every host has joined or failed to join. This
    // spreads them over all zones, so that a zone that is cut off later has instances of its own.
    if (placed == 0 && hasHostsToJoin())
        return;
    for (const HostId host : chooseInstanceHosts(candidates, rule.instances - placed)) {
        if (!canAddChange())
            return;
        addInstance(host, rule);
    }
    if (placed == rule.instances && ready == placed)
        addInstanceToEmptyZone(rule, candidates, perZone);
    if (ready > rule.instances)
        removeSurplusInstances(rule, candidates, perZone, placed);
}

// Adds an instance in a zone that has none, such as a zone that is back after an outage. The
// surplus instance of another zone is removed only once the new one is ready.
void PoolStep::addInstanceToEmptyZone(const ServiceRule &rule,
                                      const std::vector<PlacementCandidate> &candidates,
                                      const std::map<ZoneId, int> &perZone)
{
    const bool hasSurplus = std::any_of(perZone.begin(), perZone.end(),
                                        [](const auto &zone) { return zone.second > 1; });
    std::vector<PlacementCandidate> inEmptyZones;
    for (const PlacementCandidate &candidate : candidates) {
        if (!perZone.contains(candidate.zone) && candidate.startFailures == 0)
            inEmptyZones.push_back(candidate);
    }
    if (!hasSurplus || !canAddChange())
        return;
    for (const HostId host : chooseInstanceHosts(inEmptyZones, 1))
        addInstance(host, rule);
}

void PoolStep::removeSurplusInstances(const ServiceRule &rule,
                                      const std::vector<PlacementCandidate> &candidates,
                                      std::map<ZoneId, int> perZone, int placed)
{
    while (placed > rule.instances && canAddChange()) {
        const auto isSurplus = [&](const PlacementCandidate &candidate) {
            return candidate.holdsService && !isChanged(candidate.host)
                && candidate.zone == fullestZone(perZone);
        };
        const auto surplus = std::find_if(candidates.rbegin(), candidates.rend(), isSurplus);
        if (surplus == candidates.rend())
            return;
        HostRecord next = *m_state.record(surplus->host);
        std::erase_if(next.instances, [&rule](const InstanceRecord &instance) {
            return instance.service == rule.id;
        });
        changeHost(next, "has an instance of " + rule.id.name() + " in excess of the rule");
        --perZone[surplus->zone];
        --placed;
    }
}

void PoolStep::addInstance(HostId host, const ServiceRule &rule)
{
    HostRecord next = *m_state.record(host);
    next.instances.push_back({.service = rule.id});
    changeHost(next, "starts an instance of " + rule.id.name());
}

} // namespace oleanderhall
