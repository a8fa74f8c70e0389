#pragma once

#include "oleanderhall/core/strongid.h"
#include "oleanderhall/core/strongnumber.h"

namespace oleanderhall {

/// Names a host of the operators' register.
using HostId = StrongId<struct HostTag>;
/// Names a pool of hosts.
using PoolId = StrongId<struct PoolTag>;
/// Names a service, the first segment of a caller's path.
using ServiceId = StrongId<struct ServiceTag>;
/// Names an availability zone.
using ZoneId = StrongId<struct ZoneTag>;
/// Names a rack, a failure domain inside an availability zone.
using RackId = StrongId<struct RackTag>;
/// Names a maintenance wave.
using WaveId = StrongId<struct WaveTag>;
/// Names an entry host.
using EntryId = StrongId<struct EntryTag>;

/// The place of an entry in the change log. It only grows.
using Sequence = StrongNumber<struct SequenceTag>;
/// The version of the accepted configuration. It only grows.
using ConfigVersion = StrongNumber<struct ConfigVersionTag>;
/// Counts the lives of a host. A worker refuses a command that carries a lower epoch.
using Epoch = StrongNumber<struct EpochTag>;

} // namespace oleanderhall
