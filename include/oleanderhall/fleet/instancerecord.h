#pragma once

#include "oleanderhall/core/ids.h"
#include "oleanderhall/fleet/instancestate.h"

namespace oleanderhall {

/// An instance of a service, placed on the host whose record contains it.
struct InstanceRecord
{
    ServiceId service;
    InstanceState state = InstanceState::Starting;

    friend bool operator==(const InstanceRecord &, const InstanceRecord &) = default;
};

} // namespace oleanderhall
