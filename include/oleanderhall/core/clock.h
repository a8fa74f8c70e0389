#pragma once

#include "oleanderhall/core/time.h"

#include <cstdint>

namespace oleanderhall {

/// Returns the time on a monotonic clock that goes on while the machine is suspended, so that a
/// lease never looks longer than it is after a pause.
Instant monotonicNow();
/// Returns the time of day in milliseconds since 1970. It may jump.
std::int64_t wallClockMs();

} // namespace oleanderhall
