#pragma once

#include "oleanderhall/core/time.h"

#include <set>

namespace oleanderhall {

/// A TableSilence tells from the calls of one node whether the table has stopped answering. A job
/// that is sent into a silent table has an unknown outcome; one that is not sent can be refused
/// for certain. Any answer to any call counts, so that one lost answer is not taken for silence.
class TableSilence
{
public:
    enum class Stage {
        Answering, ///< No call waits for longer than usual.
        Doubtful, ///< Nothing new should be sent before a probe has been answered.
        Silent, ///< Nothing is expected to be answered until a probe is.
    };

    /// Records that a call was sent at `now`.
    void onSent(Instant now);
    /// Records at `now` the answer, also a refusal, to the call that was sent at `sentAt`.
    void onAnswered(Instant sentAt, Instant now);
    /// Records that the call that was sent at `sentAt` ended without an answer.
    void onUnanswered(Instant sentAt);

    /// Must be called before stage(), and every 50 ms while calls are open. Longer times between
    /// two calls don't count as silence: this process was paused and has read no answers.
    void observe(Instant now);
    Stage stage(Instant now) const;
    /// Returns whether a call waits for its answer, or the last one ended without an answer.
    bool hasUnansweredCalls() const { return !m_open.empty() || m_unansweredSince != Instant(); }

private:
    void close(Instant sentAt);

    std::multiset<Instant> m_open; ///< When the calls that wait for an answer were sent.
    Instant m_unansweredSince{}; ///< The first call that ended without one since the last answer.
    Instant m_lastAnswer{};
    Instant m_observed{}; ///< When observe() was last called.
    Instant m_lastPause{}; ///< When the last pause of this process ended.
    Millis m_usualDuration{0}; ///< Halved with each faster answer.
};

} // namespace oleanderhall
