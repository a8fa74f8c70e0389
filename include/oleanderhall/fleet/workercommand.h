#pragma once

#include "oleanderhall/core/ids.h"

#include <vector>

namespace oleanderhall {

/// A command to the worker on a host. Commands are idempotent because they state the desired
/// result. A worker rejects a command whose epoch is lower than one that it has accepted.
struct WorkerCommand
{
    enum class Kind {
        SetServices, ///< Run one instance of each of `services`; stop others gracefully.
        Reboot, ///< Reboot, once per epoch.
    };

    HostId host;
    Epoch epoch;
    Kind kind = Kind::SetServices;
    std::vector<ServiceId> services;

    friend bool operator==(const WorkerCommand &, const WorkerCommand &) = default;
};

} // namespace oleanderhall
