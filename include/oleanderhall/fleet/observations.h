#pragma once

#include "oleanderhall/core/ids.h"
#include "oleanderhall/fleet/hostrecord.h"

#include <map>
#include <vector>

namespace oleanderhall {

/// What is known of a host's fitness. Unknown counts as unavailable in every budget.
enum class Health { Unknown, Healthy, Unhealthy };

/// What was last seen of one host.
struct HostObservation
{
    Health health = Health::Unknown;
    bool leaving = false; ///< The platform's list says that the host is leaving.
    Epoch workerEpoch; ///< The highest epoch that the worker has accepted.
    Epoch bootEpoch; ///< The epoch of the last reboot that has ended.
    std::vector<ServiceId> running; ///< Services whose instance accepts connections.
    int activeInstances = 0; ///< Instances that run or still finish requests.
    Sequence observedAt; ///< The state's sequence when the observation began.
};

/// What was last seen of one entry host.
struct EntryHostObservation
{
    EntryId id;
    ZoneId zone;
    Sequence acknowledged; ///< The entry host dispatches only by views at least this new.
    bool leaseExpired = false; ///< Its view lease ended: it serves only upstreams of its own zone.
};

/// Everything from outside that a decision about hosts may use.
struct Observations
{
    std::map<HostId, HostObservation> hosts;
    std::vector<EntryHostObservation> entryHosts;
    Sequence entryHostsObservedAt; ///< The state's sequence when the entry hosts were listed.

    /// Returns what was seen of the record's host since the record was written. An observation that
    /// is older than the record says nothing about it, so the host is Unknown then.
    HostObservation currentFor(const HostRecord &record) const
    {
        const auto found = hosts.find(record.id);
        if (found == hosts.end())
            return {};
        if (found->second.observedAt >= record.changedAt)
            return found->second;
        return {.leaving = found->second.leaving};
    }
};

/// Says whether a host that answers has lost what its record says it runs, as after a restart of
/// its own.
bool hasLostInstances(const HostRecord &record, const Observations &observations);

} // namespace oleanderhall
