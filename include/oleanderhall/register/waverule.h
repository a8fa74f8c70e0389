#pragma once

#include "oleanderhall/core/time.h"

namespace oleanderhall {

/// A WaveRule says how maintenance waves grow and when they stop by themselves.
struct WaveRule
{
    int firstBatch = 1; ///< Hosts disrupted at a time until the first have come back.
    int maxFailures = 2; ///< Hosts that may fail to come back before the wave stops.
    Millis returnTimeout{60000}; ///< How long a host may take from its reboot until it is fit.

    friend bool operator==(const WaveRule &, const WaveRule &) = default;
};

} // namespace oleanderhall
