// Which hosts of a pool run the instances of its services.
#include "poolstep.h"

#include "oleanderhall/placement/instanceplacer.h"

#include <algorithm>

namespace oleanderhall {

namespace {

/// Returns the zone with the most instances.
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
        changeHost(next, "a service left the pool");
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
    // The first instances wait until every host has joined or failed to, so that they are spread
    // over all zones and a zone that is cut off has some of its own.
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

/// A zone that lost its instances, and is back, gets one before another zone gives one up.
void PoolStep::addInstanceToEmptyZone(const ServiceRule &rule,
                                      const std::vector<PlacementCandidate> &candidates,
                                      const std::map<ZoneId, int> &perZone)
{
    const bool canSpare = std::any_of(perZone.begin(), perZone.end(),
                                      [](const auto &zone) { return zone.second > 1; });
    std::vector<PlacementCandidate> uncovered;
    for (const PlacementCandidate &candidate : candidates) {
        if (!perZone.contains(candidate.zone) && candidate.startFailures == 0)
            uncovered.push_back(candidate);
    }
    if (!canSpare || !canAddChange())
        return;
    for (const HostId host : chooseInstanceHosts(uncovered, 1))
        addInstance(host, rule);
}

void PoolStep::removeSurplusInstances(const ServiceRule &rule,
                                      const std::vector<PlacementCandidate> &candidates,
                                      std::map<ZoneId, int> perZone, int placed)
{
    while (placed > rule.instances && canAddChange()) {
        const auto isSpare = [&](const PlacementCandidate &candidate) {
            return candidate.holdsService && !isChanged(candidate.host)
                && candidate.zone == fullestZone(perZone);
        };
        const auto spare = std::find_if(candidates.rbegin(), candidates.rend(), isSpare);
        if (spare == candidates.rend())
            return;
        HostRecord next = *m_state.record(spare->host);
        std::erase_if(next.instances, [&rule](const InstanceRecord &instance) {
            return instance.service == rule.id;
        });
        changeHost(next, "has an instance of " + rule.id.name() + " more than the rule wants");
        --perZone[spare->zone];
        --placed;
    }
}

void PoolStep::addInstance(HostId host, const ServiceRule &rule)
{
    HostRecord next = *m_state.record(host);
    next.instances.push_back({.service = rule.id});
    changeHost(next, "gets an instance of " + rule.id.name());
}

} // namespace oleanderhall
