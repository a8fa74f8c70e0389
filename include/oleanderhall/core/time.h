#pragma once

#include <chrono>

namespace oleanderhall {

/// A time on the monotonic clock of this process. Times of different processes are not comparable.
using Instant = std::chrono::steady_clock::time_point;
/// A duration in whole milliseconds.
using Millis = std::chrono::milliseconds;

} // namespace oleanderhall
