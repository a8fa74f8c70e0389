#pragma once

#include "oleanderhall/core/time.h"

#include <array>
#include <cstddef>

namespace oleanderhall {

/// EventLoopLag measures how late a process's event loop runs a periodic timer. The average of the
/// last delays tells a process that can't keep up from one that was paused once.
class EventLoopLag
{
public:
    /// Records that a timer that was due at `due` ran at `now`.
    void record(Instant due, Instant now);
    /// Returns the average delay; 0 until enough delays were recorded.
    Millis average() const;

private:
    static constexpr std::size_t kSamples = 20; ///< One second's timers of an idle process.
    /// A longer delay counts as this, so that one pause of the process alone doesn't raise the
    /// average above kMaxLoopLag.
    static constexpr Millis kMaxSample{1000};

    std::array<Millis, kSamples> m_samples{};
    std::size_t m_next = 0;
};

} // namespace oleanderhall
