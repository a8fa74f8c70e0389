#pragma once

#include "oleanderhall/core/ids.h"
#include "oleanderhall/fleet/hostrecord.h"
#include "oleanderhall/fleet/logentry.h"
#include "oleanderhall/fleet/waverecord.h"
#include "oleanderhall/register/register.h"

#include <map>
#include <set>

namespace oleanderhall {

/// A FleetState is the result of the change log up to a sequence number: the accepted
/// configuration, the hosts' records and the waves. Every entry host that applied the same entries
/// holds the same state. It does no I/O and is not synchronised.
class FleetState
{
public:
    Sequence sequence() const { return m_sequence; }
    ConfigVersion configVersion() const { return m_configVersion; }
    const Register &config() const { return m_config; }
    const std::map<HostId, HostRecord> &hosts() const { return m_hosts; }
    const std::map<PoolId, WaveRecord> &waves() const { return m_waves; }
    /// Returns the hosts whose record names `pool`, in order of their ids.
    const std::set<HostId> &hostsOf(PoolId pool) const;
    /// Returns the hosts that the register puts into `pool`, in order of their ids.
    const std::set<HostId> &registeredIn(PoolId pool) const;
    /// Returns the record of `host`, or null.
    const HostRecord *record(HostId host) const;
    /// Returns the register's line for `host`, or null.
    const HostSpec *spec(HostId host) const;
    /// Returns the latest wave over `pool`, or null.
    const WaveRecord *waveOf(PoolId pool) const;

    /// Applies the next entry. Returns false and changes nothing unless the entry directly follows
    /// the last one applied.
    bool apply(const LogEntry &entry);

    /// Starts from a snapshot taken at `sequence`. Records written later than the snapshot keep
    /// their own `changedAt`, and older entries don't overwrite them.
    void restore(Sequence sequence, ConfigVersion version, Register config,
                 std::vector<HostRecord> hosts, const std::vector<WaveRecord> &waves);

private:
    void applyConfig(const ConfigChange &change);
    void applyHost(const HostRecord &record, Sequence sequence);
    void removeHost(HostId host, Sequence sequence);
    void indexRegister(const RegisterPatch &patch);

    Sequence m_sequence;
    ConfigVersion m_configVersion;
    Register m_config;
    std::map<HostId, HostRecord> m_hosts;
    std::map<PoolId, std::set<HostId>> m_poolHosts;
    std::map<PoolId, std::set<HostId>> m_registered;
    std::map<PoolId, WaveRecord> m_waves;
};

} // namespace oleanderhall
