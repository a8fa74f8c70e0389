#pragma once

#include "oleanderhall/core/ids.h"
#include "oleanderhall/fleet/disruption.h"
#include "oleanderhall/fleet/hoststate.h"
#include "oleanderhall/fleet/instancerecord.h"

#include <vector>

namespace oleanderhall {

/// A HostRecord is what the platform's table holds of one host. Its one `pool` field is why a host
/// is in exactly one pool at any time.
struct HostRecord
{
    HostId id;
    PoolId pool;
    HostState state = HostState::Joining;
    Epoch epoch;
    Disruption disruption = Disruption::None;
    WaveId wave; ///< The last wave that took the host out, or empty.
    std::vector<InstanceRecord> instances;
    Sequence changedAt; ///< Set from the log entry that wrote the record; not part of its JSON.

    /// Returns the instance of `service` on this host, or null.
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
