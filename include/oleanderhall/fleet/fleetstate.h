#pragma once

#include "oleanderhall/core/ids.h"
#include "oleanderhall/fleet/hostrecord.h"
#include "oleanderhall/fleet/logentry.h"
#include "oleanderhall/fleet/waverecord.h"
#include "oleanderhall/register/register.h"

#include <map>
#include <set>

namespace oleanderhall {

/// The fleet's state at one sequence number of the change log: the accepted configuration, the
/// host records and the maintenance waves. Applying the same entries always gives the same state,
/// so all entry hosts agree on it. Does no I/O and is not thread-safe.
class FleetState
{
public:
    Sequence sequence() const { return m_sequence; }
    ConfigVersion configVersion() const { return m_configVersion; }
    const Register &config() const { return m_config; }
    const std::map<HostId, HostRecord> &hosts() const { return m_hosts; }
    const std::map<PoolId, WaveRecord> &waves() const { return m_waves; }
    /// Returns the hosts whose record is in `pool`, ordered by id.
    const std::set<HostId> &hostsOf(PoolId pool) const;
    /// Returns the hosts that the register assigns to `pool`, ordered by id.
    const std::set<HostId> &registeredIn(PoolId pool) const;
    /// Returns the record of `host`, or null if there is none.
    const HostRecord *record(HostId host) const;
    /// Returns the specification of `host` in the register, or null if it is not listed.
    const HostSpec *spec(HostId host) const;
    /// Returns the latest maintenance wave of `pool`, or null if there was none.
    const WaveRecord *waveOf(PoolId pool) const;

    /// Applies `entry` if its sequence directly follows sequence(). Otherwise returns false and
    /// changes nothing.
    bool apply(const LogEntry &entry);

    /// Replaces the state with a snapshot taken at `sequence`. Host records may be newer than
    /// `sequence`: an entry applied later doesn't overwrite a record whose `changedAt` equals or
    /// exceeds the sequence of the entry.
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
