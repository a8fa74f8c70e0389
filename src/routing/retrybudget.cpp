#include "oleanderhall/routing/retrybudget.h"

namespace oleanderhall {

namespace {

constexpr std::uint64_t kPercentDenominator = 100;

} // namespace

void RetryBudget::countFirstAttempt(Instant now)
{
    resetIfMinutePassed(now);
    ++m_firstAttempts;
}

bool RetryBudget::tryAcquire(Instant now)
{
    resetIfMinutePassed(now);
    if ((m_retries + 1) * kPercentDenominator
        > m_firstAttempts * static_cast<std::uint64_t>(m_percent))
        return false;
    ++m_retries;
    return true;
}

void RetryBudget::resetIfMinutePassed(Instant now)
{
    if (now - m_minuteStart < std::chrono::minutes(1))
        return;
    m_minuteStart = now;
    m_firstAttempts = 0;
    m_retries = 0;
}

} // namespace oleanderhall
