// The part of PoolStep that takes hosts out of service for waves, moves and removals.
#include "poolstep.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace oleanderhall {

void PoolStep::admitDisruptions()
{
    // Hosts that leave in any case reduce the budget before a voluntary disruption is admitted.
    drainLeavingHosts();
    for (const HostId host : m_state.hostsOf(m_pool)) {
        const HostRecord &record = *m_state.record(host);
        if (record.state != HostState::Serving || isChanged(host) || !canAddChange()
            || m_observations.currentFor(record).leaving)
            continue;
        const PoolId assignedPool = registeredPool(host);
        if (assignedPool.empty())
            tryDisrupt(record, Disruption::Remove, "the register no longer lists it");
        else if (assignedPool != m_pool)
            tryDisrupt(record, Disruption::Move, "the register moves it to " + assignedPool.name());
    }
    const WaveRecord *wave = m_state.waveOf(m_pool);
    if (wave && wave->status == WaveStatus::Running)
        admitWaveHosts(*wave);
}

void PoolStep::drainLeavingHosts()
{
    constexpr const char *kReason = "the platform reports that the host is leaving";
    for (const HostId host : m_state.hostsOf(m_pool)) {
        const HostRecord &record = *m_state.record(host);
        if (record.state != HostState::Serving || !m_observations.currentFor(record).leaving)
            continue;
        const bool canChange = !isChanged(host) && canAddChange();
        if (m_limitsLeavingByBudget) {
            if (canChange)
                tryDisrupt(record, Disruption::Leave, kReason);
            continue;
        }
        m_budget.recordDisruption(host);
        if (!canChange)
            continue;
        HostRecord next = record;
        next.state = HostState::Draining;
        next.disruption = Disruption::Leave;
        changeHost(next, kReason);
    }
}

void PoolStep::admitWaveHosts(const WaveRecord &wave)
{
    int done = 0;
    int inProgress = 0;
    std::set<RackId> racksInProgress;
    std::vector<std::tuple<bool, ZoneId, RackId, HostId>> pending;
    std::vector<HostId> eligible;
    for (const HostId host : m_state.hostsOf(m_pool)) {
        const HostRecord &record = *m_state.record(host);
        const HostSpec *spec = m_state.spec(host);
        if (!spec)
            continue;
        if (record.wave == wave.id && record.state == HostState::Serving) {
            ++done;
        } else if (record.wave == wave.id && record.state != HostState::Failed) {
            ++inProgress;
            racksInProgress.insert(spec->rack);
        } else if (record.wave != wave.id && record.state == HostState::Serving
                   && !isChanged(host)) {
            eligible.push_back(host);
        }
    }
    for (const HostId host : eligible) {
        const HostSpec &spec = *m_state.spec(host);
        pending.emplace_back(!racksInProgress.contains(spec.rack), spec.zone, spec.rack, host);
    }
    std::sort(pending.begin(), pending.end());
    // After the first batch, as many hosts may be in progress as are already back in service.
    const int limit = std::max(m_state.config().wave.firstBatch, done);
    for (const auto &[isNewRack, zone, rack, host] : pending) {
        if (inProgress >= limit || !canAddChange())
            return;
        if (tryDisrupt(*m_state.record(host), Disruption::Reboot, "wave " + wave.id.name()))
            ++inProgress;
    }
}

bool PoolStep::tryDisrupt(const HostRecord &record, Disruption disruption, const std::string &why)
{
    std::optional<std::string> refusal = m_budget.refusalReason(record.id);
    if (!refusal && isZoneFrozen(record.id))
        refusal = "an entry host of its zone acknowledges nothing";
    if (!refusal && !areServicesReady())
        refusal = "a replacement instance is not ready yet";
    if (refusal) {
        m_plan.waitReasons[record.id] = why + " waits: " + *refusal;
        return false;
    }
    HostRecord next = record;
    next.state = HostState::Draining;
    next.disruption = disruption;
    if (disruption == Disruption::Reboot)
        next.wave = m_state.waveOf(m_pool)->id;
    m_budget.recordDisruption(record.id);
    changeHost(next, why);
    return true;
}

void PoolStep::advanceWave()
{
    const WaveRecord *wave = m_state.waveOf(m_pool);
    if (!wave || wave->status != WaveStatus::Running)
        return;
    int unfinished = 0;
    int failed = 0;
    for (const HostId host : m_state.hostsOf(m_pool)) {
        const HostRecord &record = *m_state.record(host);
        if (record.state == HostState::Failed && record.wave == wave->id)
            ++failed;
        else if (record.wave != wave->id || record.state != HostState::Serving)
            ++unfinished;
    }
    WaveRecord next = *wave;
    if (failed >= m_state.config().wave.maxFailures) {
        next.status = WaveStatus::Stopped;
        next.reason = std::to_string(failed) + " hosts did not come back";
    } else if (unfinished == 0) {
        next.status = WaveStatus::Done;
        next.reason = "every host was maintained";
    } else {
        return;
    }
    m_plan.changes.push_back(WaveChange{next});
    addReason("wave " + next.id.name() + ": " + next.reason);
}

bool PoolStep::areServicesReady() const
{
    int serving = 0;
    std::map<ServiceId, int> ready;
    for (const HostId host : m_state.hostsOf(m_pool)) {
        const HostRecord &record = *m_state.record(host);
        if (record.state != HostState::Serving)
            continue;
        ++serving;
        for (const InstanceRecord &instance : record.instances)
            ready[instance.service] += instance.state == InstanceState::Ready ? 1 : 0;
    }
    for (const auto &[id, rule] : m_state.config().services) {
        if (rule.pool == m_pool && ready[id] < std::min(rule.instances, serving))
            return false;
    }
    return true;
}

bool PoolStep::isZoneFrozen(HostId host) const
{
    const HostSpec *spec = m_state.spec(host);
    return std::any_of(m_observations.entryHosts.begin(), m_observations.entryHosts.end(),
                       [spec](const EntryHostObservation &entry) {
                           return entry.leaseExpired && (!spec || spec->zone == entry.zone);
                       });
}

} // namespace oleanderhall
