#pragma once

#include "oleanderhall/core/strongid.h"
#include "oleanderhall/core/strongnumber.h"

namespace oleanderhall {

/// Identifies a host of the operators' register.
using HostId = StrongId<struct HostTag>;
/// Identifies a pool of hosts.
using PoolId = StrongId<struct PoolTag>;
/// Identifies a service. Its name is the first segment of a caller's path.
using ServiceId = StrongId<struct ServiceTag>;
/// Identifies an availability zone.
using ZoneId = StrongId<struct ZoneTag>;
/// Identifies a rack, a failure domain within an availability zone.
using RackId = StrongId<struct RackTag>;
/// Identifies a maintenance wave.
using WaveId = StrongId<struct WaveTag>;
/// Identifies an entry host.
using EntryId = StrongId<struct EntryTag>;
/// Identifies a team, a group of callers with keys, a share and caps of its own.
using TeamId = StrongId<struct TeamTag>;

/// The position of an entry in the change log. It only increases.
using Sequence = StrongNumber<struct SequenceTag>;
/// The version of the accepted configuration. It only increases.
using ConfigVersion = StrongNumber<struct ConfigVersionTag>;
/// A number that increases whenever a host joins or is rebooted. A worker rejects commands with a
/// lower epoch than one that it has accepted.
using Epoch = StrongNumber<struct EpochTag>;

} // namespace oleanderhall
