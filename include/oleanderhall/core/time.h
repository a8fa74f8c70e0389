#pragma once

#include <chrono>

namespace oleanderhall {

/// A point on the monotonic clock of one process. It is never compared between processes.
using Instant = std::chrono::steady_clock::time_point;
/// A span of time in whole milliseconds.
using Millis = std::chrono::milliseconds;

} // namespace oleanderhall
