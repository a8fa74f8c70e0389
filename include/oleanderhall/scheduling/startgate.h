#pragma once

#include "oleanderhall/core/time.h"

namespace oleanderhall {

/// A StartGate decides whether an owner's knowledge of the cancellations is recent enough to start
/// tasks. A read that was sent after a cancellation had been acknowledged contains it, so a task
/// that starts at most `cancelTimeout` after the sending of the last read that was handled starts
/// at most that long after any cancellation that the read lacked. Times are those of
/// monotonicNow(), which also counts while the machine is suspended.
class StartGate
{
public:
    /// A gate that allows all starts.
    StartGate()
        : m_latestStart(Instant::max())
    {}
    /// `cancelTimeout` is the longest time from the acknowledgement of a cancellation to a start of
    /// a task of its job.
    explicit StartGate(Millis cancelTimeout)
        : m_cancelTimeout(cancelTimeout)
    {}

    /// Records that all cancellations are known that a read sent at `sentAt` returned.
    void onCancellationsRead(Instant sentAt)
    {
        const Instant latest = sentAt + m_cancelTimeout - kClockMargin;
        if (latest > m_latestStart)
            m_latestStart = latest;
    }
    /// Returns until when workers may carry out start commands that rest on the last read.
    Instant latestStart() const { return m_latestStart; }
    /// Returns whether a start command may be sent now.
    bool mayStart(Instant now) const { return now <= m_latestStart - kDeliveryTime; }

private:
    /// Covers the drift of 2 % between a worker's clock and this process's within the timeout.
    static constexpr Millis kClockMargin{100};
    /// Time for a command to reach its worker before it would be refused as late. The estimate of
    /// the worker's clock may be 600 ms early, which is its drift since the last status.
    static constexpr Millis kDeliveryTime{700};

    Millis m_cancelTimeout{0};
    Instant m_latestStart{};
};

} // namespace oleanderhall
