#pragma once

#include "oleanderhall/core/time.h"

#include <cstdint>

namespace oleanderhall {

/// Returns the time on a monotonic clock that also advances while the machine is suspended, so that
/// leases expire on time after a suspension.
Instant monotonicNow();
/// Returns the wall-clock time in milliseconds since 1970. It may jump when the clock is adjusted.
std::int64_t wallClockMs();

} // namespace oleanderhall
