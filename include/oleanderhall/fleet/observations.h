#pragma once

#include "oleanderhall/core/ids.h"
#include "oleanderhall/fleet/hostrecord.h"

#include <map>
#include <vector>

namespace oleanderhall {

/// The observed health of a host. An Unknown host counts as unavailable in disruption budgets.
enum class Health { Unknown, Healthy, Unhealthy };

/// The latest observation of one host.
struct HostObservation
{
    Health health = Health::Unknown;
    bool leaving = false; ///< The platform's host list says that the host is being withdrawn.
    Epoch workerEpoch; ///< The highest epoch that the worker has accepted.
    Epoch bootEpoch; ///< The epoch of the last completed reboot.
    std::vector<ServiceId> running; ///< Services whose instance accepts connections.
    int activeInstances = 0; ///< Running instances, and stopping ones that still finish requests.
    Sequence observedAt; ///< Sequence of the fleet's state when the observation began.
};

/// The latest observation of one entry host.
struct EntryHostObservation
{
    EntryId id;
    ZoneId zone;
    Sequence acknowledged; ///< The entry host no longer routes by a view older than this.
    bool leaseExpired = false; ///< View lease expired: it routes only within its own zone.
};

/// The observations on which the decisions about hosts are based.
struct Observations
{
    std::map<HostId, HostObservation> hosts;
    std::vector<EntryHostObservation> entryHosts;
    Sequence entryHostsObservedAt; ///< Sequence of the state when the entry hosts were listed.

    /// Returns the observation of the record's host if it is at least as new as the record. An
    /// older observation says nothing about the record, so only its `leaving` is kept and the
    /// host's health is Unknown.
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

/// Returns true if a healthy host no longer runs what its record says: its worker has not accepted
/// the record's epoch or a ready instance is not running, for instance after an unplanned restart.
bool hasLostInstances(const HostRecord &record, const Observations &observations);

} // namespace oleanderhall
