#pragma once

#include "oleanderhall/core/ids.h"
#include "oleanderhall/fleet/wavestatus.h"

#include <string>

namespace oleanderhall {

/// A maintenance wave, which reboots all hosts of a pool.
struct WaveRecord
{
    WaveId id;
    PoolId pool;
    WaveStatus status = WaveStatus::Running;
    std::string reason; ///< Why the wave was started, paused or stopped.

    friend bool operator==(const WaveRecord &, const WaveRecord &) = default;
};

} // namespace oleanderhall
