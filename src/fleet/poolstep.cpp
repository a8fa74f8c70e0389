#include "poolstep.h"

#include <algorithm>

namespace oleanderhall {

namespace {

constexpr std::size_t kMaxChangesPerEntry = 40; // keeps an entry within one table transaction
constexpr int kMinHostsForMassFailure = 4; // smaller pools never count as failing as a whole

bool contains(const std::vector<ServiceId> &services, ServiceId service)
{
    return std::find(services.begin(), services.end(), service) != services.end();
}

std::vector<ServiceId> servicesOf(const HostRecord &record)
{
    std::vector<ServiceId> services;
    for (const InstanceRecord &instance : record.instances)
        services.push_back(instance.service);
    return services;
}

} // namespace

PoolStep::PoolStep(const FleetState &state, const Observations &observations, PoolId pool,
                   const PlannerSettings &settings, std::map<HostId, int> &startFailures)
    : m_state(state)
    , m_observations(observations)
    , m_pool(pool)
    , m_settings(settings)
    , m_startFailures(startFailures)
    , m_budget(state, pool, observations)
{
    int serving = 0;
    int unhealthy = 0;
    int leaving = 0;
    for (const HostId host : state.hostsOf(pool)) {
        if (state.record(host)->state != HostState::Serving)
            continue;
        ++serving;
        if (observations.currentFor(*state.record(host)).health == Health::Unhealthy)
            ++unhealthy;
        if (observations.currentFor(*state.record(host)).leaving)
            ++leaving;
    }
    // If more than half of the pool seems to fail at once, the observer may be the one that is
    // disconnected.
    const bool isLarge = serving >= kMinHostsForMassFailure;
    m_ignoresUnhealthy = isLarge && 2 * unhealthy > serving;
    m_limitsLeavingByBudget = isLarge && 2 * leaving > serving;
}

void PoolStep::advanceHost(const HostRecord &record, Millis sinceChange)
{
    if (!canAddChange())
        return;
    switch (record.state) {
    case HostState::Joining:
        return progressJoining(record, sinceChange);
    case HostState::Serving:
        return progressServing(record, sinceChange);
    case HostState::Draining:
        return progressDraining(record, sinceChange);
    case HostState::Stopped:
        return progressStopped(record);
    case HostState::Rebooting:
        return progressRebooting(record, sinceChange);
    case HostState::Failed:
        return progressFailed(record, sinceChange);
    }
}

void PoolStep::progressJoining(const HostRecord &record, Millis sinceChange)
{
    const HostObservation observation = m_observations.currentFor(record);
    if (registeredPool(record.id) != m_pool) {
        HostRecord next = record;
        next.state = HostState::Stopped;
        next.disruption = Disruption::Move;
        return changeHost(next, "the register changed before the host joined");
    }
    if (observation.health == Health::Healthy && observation.workerEpoch == record.epoch
        && !observation.leaving) {
        HostRecord next = record;
        next.state = HostState::Serving;
        next.disruption = Disruption::None;
        return changeHost(next, "the host is fit");
    }
    if (sinceChange > m_state.config().wave.returnTimeout)
        return markFailed(record, "the host did not become healthy in time");
    addCommand(record, WorkerCommand::Kind::SetServices, {});
}

void PoolStep::progressServing(const HostRecord &record, Millis sinceChange)
{
    const HostObservation observation = m_observations.currentFor(record);
    if (isLost(record))
        return markFailed(record, "the host stopped responding");
    if (hasLostInstances(record, m_observations))
        return markFailed(record, "the host lost its instances");
    HostRecord next = record;
    bool isStarting = false;
    for (InstanceRecord &instance : next.instances) {
        if (instance.state != InstanceState::Starting)
            continue;
        if (contains(observation.running, instance.service))
            instance.state = InstanceState::Ready;
        else
            isStarting = true;
    }
    if (!isStarting && next != record)
        m_startFailures.erase(record.id);
    if (isStarting && sinceChange > m_settings.instanceStartTimeout) {
        ++m_startFailures[record.id];
        return markFailed(record, "an instance did not start in time");
    }
    if (next != record)
        return changeHost(next, "instances are ready");
    const bool mustStop = std::any_of(
        observation.running.begin(), observation.running.end(),
        [&record](ServiceId service) { return !record.instanceOf(service); });
    if (isStarting || (mustStop && isChangePropagated(record, sinceChange)))
        addCommand(record, WorkerCommand::Kind::SetServices, servicesOf(record));
}

void PoolStep::progressDraining(const HostRecord &record, Millis sinceChange)
{
    const HostObservation observation = m_observations.currentFor(record);
    if (observation.health == Health::Unhealthy)
        return markFailed(record, "the host failed while draining");
    if (!isChangePropagated(record, sinceChange)) {
        m_plan.waitReasons[record.id] = "an entry host may still route to it by an older view";
        return;
    }
    if (observation.health == Health::Healthy && observation.workerEpoch == record.epoch
        && observation.running.empty() && observation.activeInstances == 0) {
        HostRecord next = record;
        next.state = HostState::Stopped;
        next.instances.clear();
        return changeHost(next, "the host has stopped all instances");
    }
    addCommand(record, WorkerCommand::Kind::SetServices, {});
}

void PoolStep::progressStopped(const HostRecord &record)
{
    const PoolId assignedPool = registeredPool(record.id);
    if (assignedPool.empty()) {
        m_plan.changes.push_back(HostRemoval{record.id});
        m_changed.emplace(record.id, record);
        return addReason(record.id.name() + " removed: the register no longer lists it");
    }
    if (assignedPool != record.pool)
        return rejoin(record, assignedPool, "moved from pool " + record.pool.name());
    if (record.disruption == Disruption::Reboot) {
        HostRecord next = record;
        next.state = HostState::Rebooting;
        next.epoch = newEpoch();
        return changeHost(next, "reboot for wave " + record.wave.name());
    }
    if (!m_observations.currentFor(record).leaving)
        rejoin(record, record.pool, "returns");
}

void PoolStep::progressRebooting(const HostRecord &record, Millis sinceChange)
{
    const HostObservation observation = m_observations.currentFor(record);
    if (observation.health == Health::Healthy && observation.bootEpoch == record.epoch)
        return rejoin(record, record.pool, "the reboot is complete");
    if (sinceChange > m_state.config().wave.returnTimeout)
        return markFailed(record, "the host did not come back from its reboot");
    addCommand(record, WorkerCommand::Kind::Reboot, {});
}

void PoolStep::progressFailed(const HostRecord &record, Millis sinceChange)
{
    const HostObservation observation = m_observations.currentFor(record);
    const PoolId assignedPool = registeredPool(record.id);
    const bool isReachable = observation.health == Health::Healthy;
    if (assignedPool == record.pool) {
        if (isReachable && !observation.leaving)
            rejoin(record, record.pool, "answers again");
        return;
    }
    if (!isChangePropagated(record, sinceChange))
        return;
    HostRecord next = record;
    next.disruption = assignedPool.empty() ? Disruption::Remove : Disruption::Move;
    next.state = HostState::Stopped;
    if (isReachable || assignedPool.empty())
        changeHost(next, "a failed host is taken out of the pool");
}

void PoolStep::admitNewHosts()
{
    for (const HostId host : m_state.registeredIn(m_pool)) {
        if (m_state.record(host) || !canAddChange())
            continue;
        HostRecord record{.id = host, .pool = m_pool, .epoch = newEpoch()};
        changeHost(record, "the register lists it");
    }
}

bool PoolStep::hasHostsToJoin() const
{
    const auto &registered = m_state.registeredIn(m_pool);
    return std::any_of(registered.begin(), registered.end(), [this](HostId host) {
        const HostRecord *record = m_state.record(host);
        return !record || record->state == HostState::Joining;
    });
}

bool PoolStep::isChangePropagated(const HostRecord &record, Millis sinceChange) const
{
    if (m_observations.entryHosts.empty() || m_observations.entryHostsObservedAt < record.changedAt)
        return false;
    const HostSpec *spec = m_state.spec(record.id);
    for (const EntryHostObservation &entry : m_observations.entryHosts) {
        if (entry.acknowledged >= record.changedAt)
            continue;
        const bool servesItsZoneOnly = entry.leaseExpired && sinceChange > m_settings.viewExpiry;
        if (!servesItsZoneOnly || !spec || spec->zone == entry.zone)
            return false;
    }
    return true;
}

bool PoolStep::isLost(const HostRecord &record) const
{
    return !m_ignoresUnhealthy && m_observations.currentFor(record).health == Health::Unhealthy;
}

bool PoolStep::canAddChange() const
{
    return m_plan.changes.size() < kMaxChangesPerEntry;
}

PoolId PoolStep::registeredPool(HostId host) const
{
    const HostSpec *spec = m_state.spec(host);
    return spec ? spec->pool : PoolId();
}

void PoolStep::changeHost(HostRecord record, const std::string &why)
{
    addReason(record.id.name() + " " + std::string(nameOf(record.state)) + ": " + why);
    m_changed.insert_or_assign(record.id, record);
    m_plan.changes.push_back(HostChange{std::move(record)});
}

void PoolStep::markFailed(const HostRecord &record, const std::string &why)
{
    m_budget.recordLoss(record.id);
    HostRecord next = record;
    next.state = HostState::Failed;
    next.instances.clear();
    changeHost(next, why);
}

void PoolStep::rejoin(const HostRecord &record, PoolId pool, const std::string &why)
{
    HostRecord next = record;
    next.state = HostState::Joining;
    next.pool = pool;
    next.epoch = newEpoch();
    next.instances.clear();
    changeHost(next, why);
}

void PoolStep::addCommand(const HostRecord &record, WorkerCommand::Kind kind,
                          std::vector<ServiceId> services)
{
    m_plan.commands.push_back({record.id, record.epoch, kind, std::move(services)});
}

void PoolStep::addReason(const std::string &why)
{
    if (!m_plan.reason.empty())
        m_plan.reason += "; ";
    m_plan.reason += why;
}

} // namespace oleanderhall
