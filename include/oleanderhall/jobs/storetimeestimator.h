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
    /// Records that the transaction in flight has ended at `now`, with or without success.
    void onCompleted(Instant now);
    /// Returns the expected time until a job that arrives now is stored. It is 0 when no
    /// transaction is in flight: the job is then sent at once, and its transaction measures the
    /// table's speed.
    Millis estimate(Instant now) const;

private:
    std::optional<Instant> m_sentAt; ///< Start of the transaction in flight.
    Millis m_lastDuration{0}; ///< Duration of the last completed transaction.
};

} // namespace oleanderhall
