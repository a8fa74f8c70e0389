#pragma once

#include "oleanderhall/core/time.h"

#include <optional>

namespace oleanderhall {

/// A StoreTimeEstimator estimates how long it takes to store a job that arrives now. Transactions
/// are sent one at a time, and each stores all jobs that are waiting. A job that can't be stored
/// within its caller's time limit is better rejected at once, so that the caller can retry later or
/// use another entry host.
class StoreTimeEstimator
{
public:
    /// Records that a transaction is sent at `now`. Only one may be in flight.
    void onSent(Instant now) { m_sentAt = now; }
    /// Records that the table has executed the transaction in flight and answered at `now`.
    void onCompleted(Instant now);
    /// Records that the transaction in flight was refused at `now`. The table refuses when its
    /// queue is full, so the next one that it accepts takes as long as that queue.
    void onRefused(Instant now);
    /// Records that the transaction in flight was not answered, which does not tell how long one
    /// takes.
    void onUnanswered() { m_sentAt.reset(); }
    /// Returns the expected time until a job that arrives now is stored. It is 0 when no
    /// transaction is in flight: the job is then sent at once, and its transaction measures the
    /// table's speed.
    Millis estimate(Instant now) const;
    /// Returns how long a transaction that is sent now is expected to take, or 0 if the last answer
    /// came too long ago to tell.
    Millis expectedDuration(Instant now) const;

private:
    std::optional<Instant> m_sentAt; ///< Start of the transaction in flight.
    Millis m_lastDuration{0}; ///< Duration of the last completed transaction.
    Instant m_answeredAt{};
};

} // namespace oleanderhall
