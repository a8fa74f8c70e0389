#pragma once

#include <cstddef>

namespace oleanderhall {

/// A CongestionWindow limits the number of start commands in flight. An owner whose processor or
/// network link is too small for its fleet sends commands late. A command that times out may be
/// executed all the same, so its run is stopped and started elsewhere, which costs three commands
/// in total. Like TCP's congestion window, this one grows quickly until commands time out, then
/// halves and grows slowly.
class CongestionWindow
{
public:
    /// Returns whether another command may be sent now.
    bool isOpen() const { return m_inFlight < m_size; }
    void onSent() { ++m_inFlight; }
    /// Undoes onSent() for a command that was not sent after all.
    void onWithdrawn() { --m_inFlight; }
    /// Records that a command has ended and whether the worker answered it in time.
    void onCompleted(bool wasAnswered);

    std::size_t size() const { return m_size; }
    std::size_t inFlight() const { return m_inFlight; }

private:
    std::size_t m_size = kInitialSize;
    std::size_t m_inFlight = 0;
    std::size_t m_completed = 0; ///< Commands since the size was last evaluated.
    std::size_t m_timedOut = 0; ///< Those of `m_completed` without an answer.
    std::size_t m_answered = 0; ///< Commands since the size last grew.
    std::size_t m_sentBeforeHalving = 0; ///< Commands in flight since before the last halving.
    bool m_hasHalved = false;

    /// With commands of up to 5 KB and a round trip of a few milliseconds, this allows thousands of
    /// starts per second on a fast link.
    static constexpr std::size_t kInitialSize = 64;
    static constexpr std::size_t kMinSize = 16; ///< Keeps 10 Mbit/s busy for some milliseconds.
    static constexpr std::size_t kMaxSize = 1024;
    /// The size is evaluated once per this many commands, so that one unresponsive worker does not
    /// shrink it.
    static constexpr std::size_t kSampleSize = 32;
};

} // namespace oleanderhall
