#pragma once

#include "oleanderhall/core/ids.h"
#include "oleanderhall/fleet/instancestate.h"

namespace oleanderhall {

/// An InstanceRecord places one instance of a service on the host whose record holds it.
struct InstanceRecord
{
    ServiceId service;
    InstanceState state = InstanceState::Starting;

    friend bool operator==(const InstanceRecord &, const InstanceRecord &) = default;
};

} // namespace oleanderhall
