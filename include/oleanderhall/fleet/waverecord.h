#pragma once

#include "oleanderhall/core/ids.h"
#include "oleanderhall/fleet/wavestatus.h"

#include <string>

namespace oleanderhall {

/// A WaveRecord is one maintenance wave over all hosts of a pool.
struct WaveRecord
{
    WaveId id;
    PoolId pool;
    WaveStatus status = WaveStatus::Running;
    std::string reason; ///< Why it was started, paused or stopped.

    friend bool operator==(const WaveRecord &, const WaveRecord &) = default;
};

} // namespace oleanderhall
