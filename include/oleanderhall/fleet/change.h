#pragma once

#include "oleanderhall/core/ids.h"
#include "oleanderhall/fleet/hostrecord.h"
#include "oleanderhall/fleet/waverecord.h"
#include "oleanderhall/register/registerpatch.h"

#include <variant>

namespace oleanderhall {

/// Accepts the next version of the configuration.
struct ConfigChange
{
    ConfigVersion version;
    RegisterPatch patch;

    friend bool operator==(const ConfigChange &, const ConfigChange &) = default;
};

/// Sets a host's record.
struct HostChange
{
    HostRecord record;

    friend bool operator==(const HostChange &, const HostChange &) = default;
};

/// Removes a host that the register no longer names.
struct HostRemoval
{
    HostId host;

    friend bool operator==(const HostRemoval &, const HostRemoval &) = default;
};

/// Sets a maintenance wave's record.
struct WaveChange
{
    WaveRecord record;

    friend bool operator==(const WaveChange &, const WaveChange &) = default;
};

/// One change of the fleet's state.
using Change = std::variant<ConfigChange, HostChange, HostRemoval, WaveChange>;

} // namespace oleanderhall
