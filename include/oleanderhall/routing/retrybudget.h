#pragma once

#include "oleanderhall/core/time.h"

#include <cstdint>

namespace oleanderhall {

/// A RetryBudget limits retries to a percentage of the first attempts counted so far in the current
/// one-minute window. Nothing is carried over, so the limit holds for each window on its own. A
/// retry after a failed connection, for which nothing was sent, is not charged to it.
class RetryBudget
{
public:
    /// `percent` is the highest number of retries per 100 first attempts.
    explicit RetryBudget(int percent)
        : m_percent(percent)
    {}

    void countFirstAttempt(Instant now);
    /// Returns whether a retry may be sent now. If so, charges it to the budget.
    bool tryAcquire(Instant now);

private:
    /// Resets the counters if a minute has passed since the window began.
    void resetIfMinutePassed(Instant now);

    int m_percent;
    Instant m_minuteStart;
    std::uint64_t m_firstAttempts = 0;
    std::uint64_t m_retries = 0;
};

} // namespace oleanderhall
