#pragma once

#include "oleanderhall/core/time.h"

namespace oleanderhall {

/// Controls how fast maintenance waves proceed and when they stop automatically.
struct WaveRule
{
    int firstBatch = 1; ///< Hosts disrupted concurrently, until more than that are back in service.
    int maxFailures = 2; ///< Failed hosts at which the wave stops.
    Millis returnTimeout{60000}; ///< Time limit for a reboot, and for joining a pool.

    friend bool operator==(const WaveRule &, const WaveRule &) = default;
};

} // namespace oleanderhall
