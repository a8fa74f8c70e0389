#pragma once

#include "oleanderhall/core/ids.h"
#include "oleanderhall/jobs/resources.h"
#include "oleanderhall/scheduling/workerreport.h"

namespace oleanderhall {

/// What the platform's list says of one host.
struct HostInfo
{
    enum class State { Up, Moving, Maintenance, Down };

    HostId id;
    ServiceId pool;
    State state = State::Down;
    ZoneId zone;
    Resources capacity;
    WorkerId worker; ///< The life of its worker; empty when none runs.
};

/// What came of an order to a host.
enum class HostCommandResult {
    Done, ///< Carried out now or before: whatever ran on the host has ended.
    Busy, ///< The host is not up, or leaves.
    NotOfWave,
    Fenced,
    Invalid,
    Refused, ///< Turned away for its rate; nothing was done.
    Unknown,
};

} // namespace oleanderhall
