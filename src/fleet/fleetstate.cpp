#include "oleanderhall/fleet/fleetstate.h"

namespace oleanderhall {

namespace {

const std::set<HostId> kNoHosts;

const std::set<HostId> &lookUp(const std::map<PoolId, std::set<HostId>> &index, PoolId pool)
{
    const auto found = index.find(pool);
    return found == index.end() ? kNoHosts : found->second;
}

} // namespace

const std::set<HostId> &FleetState::hostsOf(PoolId pool) const
{
    return lookUp(m_poolHosts, pool);
}

const std::set<HostId> &FleetState::registeredIn(PoolId pool) const
{
    return lookUp(m_registered, pool);
}

const HostRecord *FleetState::record(HostId host) const
{
    const auto found = m_hosts.find(host);
    return found == m_hosts.end() ? nullptr : &found->second;
}

const HostSpec *FleetState::spec(HostId host) const
{
    const auto found = m_config.hosts.find(host);
    return found == m_config.hosts.end() ? nullptr : &found->second;
}

const WaveRecord *FleetState::waveOf(PoolId pool) const
{
    const auto found = m_waves.find(pool);
    return found == m_waves.end() ? nullptr : &found->second;
}

bool FleetState::apply(const LogEntry &entry)
{
    if (entry.sequence != m_sequence.next())
        return false;
    for (const Change &change : entry.changes) {
        if (const auto *config = std::get_if<ConfigChange>(&change))
            applyConfig(*config);
        else if (const auto *host = std::get_if<HostChange>(&change))
            applyHost(host->record, entry.sequence);
        else if (const auto *removal = std::get_if<HostRemoval>(&change))
            removeHost(removal->host, entry.sequence);
        else if (const auto *wave = std::get_if<WaveChange>(&change))
            m_waves.insert_or_assign(wave->record.pool, wave->record);
    }
    m_sequence = entry.sequence;
    return true;
}

void FleetState::restore(Sequence sequence, ConfigVersion version, Register config,
                         std::vector<HostRecord> hosts, const std::vector<WaveRecord> &waves)
{
    *this = FleetState();
    m_sequence = sequence;
    m_configVersion = version;
    RegisterPatch patch = difference(Register{}, config);
    indexRegister(patch);
    m_config = std::move(config);
    for (HostRecord &record : hosts) {
        m_poolHosts[record.pool].insert(record.id);
        m_hosts.insert_or_assign(record.id, std::move(record));
    }
    for (const WaveRecord &wave : waves)
        m_waves.insert_or_assign(wave.pool, wave);
}

void FleetState::applyConfig(const ConfigChange &change)
{
    if (change.version <= m_configVersion)
        return;
    indexRegister(change.patch);
    applyPatch(m_config, change.patch);
    m_configVersion = change.version;
}

void FleetState::indexRegister(const RegisterPatch &patch)
{
    for (const HostId &host : patch.removedHosts) {
        if (const HostSpec *known = spec(host))
            m_registered[known->pool].erase(host);
    }
    for (const HostSpec &host : patch.hosts) {
        if (const HostSpec *known = spec(host.id))
            m_registered[known->pool].erase(host.id);
        m_registered[host.pool].insert(host.id);
    }
}

void FleetState::applyHost(const HostRecord &record, Sequence sequence)
{
    const HostRecord *known = this->record(record.id);
    if (known && known->changedAt >= sequence)
        return;
    if (known)
        m_poolHosts[known->pool].erase(record.id);
    m_poolHosts[record.pool].insert(record.id);
    HostRecord &stored = m_hosts[record.id];
    stored = record;
    stored.changedAt = sequence;
}

void FleetState::removeHost(HostId host, Sequence sequence)
{
    const HostRecord *known = record(host);
    if (!known || known->changedAt > sequence)
        return;
    m_poolHosts[known->pool].erase(host);
    m_hosts.erase(host);
}

} // namespace oleanderhall
