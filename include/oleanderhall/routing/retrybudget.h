#pragma once

#include "oleanderhall/core/time.h"

#include <cstdint>

namespace oleanderhall {

/// A RetryBudget admits retries up to a share of the first tries of the running minute, so that the
/// share holds for each minute by itself. Only a retry that sends a request again draws on it.
class RetryBudget
{
public:
    /// `percent` is the highest share of retries in first tries.
    explicit RetryBudget(int percent)
        : m_percent(percent)
    {}

    void countFirstAttempt(Instant now);
    /// Returns whether a retry may be sent now, and counts it if so.
    bool tryAcquire(Instant now);

private:
    void startMinute(Instant now);

    int m_percent;
    Instant m_minuteStart;
    std::uint64_t m_firstAttempts = 0;
    std::uint64_t m_retries = 0;
};

} // namespace oleanderhall
