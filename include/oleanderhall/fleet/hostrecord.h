#pragma once

#include "oleanderhall/core/ids.h"
#include "oleanderhall/fleet/disruption.h"
#include "oleanderhall/fleet/hoststate.h"
#include "oleanderhall/fleet/instancerecord.h"

#include <vector>

namespace oleanderhall {

/// The state of one host as stored in the platform's table. The single `pool` field ensures that a
/// host is in exactly one pool at any time.
struct HostRecord
{
    HostId id;
    PoolId pool;
    HostState state = HostState::Joining;
    Epoch epoch;
    Disruption disruption = Disruption::None;
    WaveId wave; ///< The last wave that took the host out of service, or empty.
    std::vector<InstanceRecord> instances;
    Sequence changedAt; ///< Sequence of the entry that wrote the record; not part of the JSON.

    /// Returns the instance of `service` on this host, or null if there is none.
    const InstanceRecord *instanceOf(ServiceId service) const
    {
        for (const InstanceRecord &instance : instances) {
            if (instance.service == service)
                return &instance;
        }
        return nullptr;
    }
    friend bool operator==(const HostRecord &, const HostRecord &) = default;
};

} // namespace oleanderhall
