#pragma once

#include "oleanderhall/core/ids.h"

#include <vector>

namespace oleanderhall {

/// What a worker is told to do. Commands state the wanted end, so that repeating one is harmless;
/// a worker refuses a command whose epoch is lower than one it has accepted.
struct WorkerCommand
{
    enum class Kind {
        SetServices, ///< Run an instance of exactly these services; stop others gracefully.
        Reboot, ///< Reboot once for this epoch.
    };

    HostId host;
    Epoch epoch;
    Kind kind = Kind::SetServices;
    std::vector<ServiceId> services;

    friend bool operator==(const WorkerCommand &, const WorkerCommand &) = default;
};

} // namespace oleanderhall
