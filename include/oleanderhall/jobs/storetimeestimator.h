#pragma once

#include "oleanderhall/core/time.h"

#include <optional>

namespace oleanderhall {

/// A StoreTimeEstimator tells how long a job that arrives now will take to be stored, where
/// transactions are sent one after another and each takes all that waits. A job that can't be
/// stored within its caller's time is better refused at once: the caller may come back, or go
/// elsewhere.
class StoreTimeEstimator
{
public:
    /// A transaction is sent at `now`; one is in flight at a time.
    void onSent(Instant now) { m_sentAt = now; }
    /// The transaction in flight has ended.
    void onCompleted(Instant now);
    /// Returns the time until a job that arrives now is stored, as far as is known: 0 when nothing
    /// is in flight, as then it is sent at once and shows how the table is.
    Millis estimate(Instant now) const;

private:
    std::optional<Instant> m_sentAt; ///< Of the transaction in flight.
    Millis m_lastDuration{0}; ///< How long the last one took.
};

} // namespace oleanderhall
