#pragma once

#include <cstddef>

namespace oleanderhall {

/// An CongestionWindow bounds how many start orders are without an answer at a time. An owner whose
/// processor or link is too small for its fleet sends orders late; each that runs out of time may
/// run all the same, is stopped and started elsewhere, and so costs three orders. Like TCP's
/// window, this one grows quickly until orders stay without an answer, then halves and grows
/// slowly.
class CongestionWindow
{
public:
    /// Returns whether another order may be sent now.
    bool isOpen() const { return m_inFlight < m_size; }
    void onSent() { ++m_inFlight; }
    /// Takes back an order that was counted as sent and was not.
    void onWithdrawn() { --m_inFlight; }
    /// Takes the end of an order: whether the worker answered it within its time.
    void onCompleted(bool wasAnswered);

    std::size_t size() const { return m_size; }
    std::size_t inFlight() const { return m_inFlight; }

private:
    std::size_t m_size = kInitialSize;
    std::size_t m_inFlight = 0;
    std::size_t m_completed = 0; ///< Since the size was last judged.
    std::size_t m_timedOut = 0; ///< Of those.
    std::size_t m_answered = 0; ///< Since the size last grew.
    std::size_t
        m_sentBeforeHalving = 0; ///< Orders sent before the last halving that are in flight.
    bool m_hasHalved = false;

    /// Orders of up to 5 KB to workers a few milliseconds away: thousands of starts a
    /// second on a fast link.
    static constexpr std::size_t kInitialSize = 64;
    static constexpr std::size_t kMinSize = 16; ///< Keeps 10 Mbit/s busy for some milliseconds.
    static constexpr std::size_t kMaxSize = 1024;
    /// The window is judged after this many ends, so that one silent worker does not count.
    static constexpr std::size_t kSampleSize = 32;
};

} // namespace oleanderhall
