#pragma once

#include "oleanderhall/core/ids.h"
#include "oleanderhall/fleet/hostrecord.h"
#include "oleanderhall/fleet/waverecord.h"
#include "oleanderhall/register/registerpatch.h"

#include <variant>

namespace oleanderhall {

/// Adopts a new version of the configuration. The patch applies to the previous version.
struct ConfigChange
{
    ConfigVersion version;
    RegisterPatch patch;

    friend bool operator==(const ConfigChange &, const ConfigChange &) = default;
};

/// Creates or replaces the record of a host.
struct HostChange
{
    HostRecord record;

    friend bool operator==(const HostChange &, const HostChange &) = default;
};

/// Deletes the record of a host that the register no longer lists.
struct HostRemoval
{
    HostId host;

    friend bool operator==(const HostRemoval &, const HostRemoval &) = default;
};

/// Creates or replaces the record of a maintenance wave.
struct WaveChange
{
    WaveRecord record;

    friend bool operator==(const WaveChange &, const WaveChange &) = default;
};

/// One change of the fleet's state, committed as part of a LogEntry.
using Change = std::variant<ConfigChange, HostChange, HostRemoval, WaveChange>;

} // namespace oleanderhall
