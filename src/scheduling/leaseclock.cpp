#include "oleanderhall/scheduling/leaseclock.h"

#include <algorithm>

namespace oleanderhall {

void LeaseClock::update(Millis clock, Instant receivedAt)
{
    // Answers on different connections may arrive out of order: keeps the latest time.
    if (m_isKnown && clock < m_observedTime)
        return;
    m_isKnown = true;
    m_observedTime = clock;
    m_observedAt = receivedAt;
}

Millis LeaseClock::estimatedTime(Instant now) const
{
    return m_observedTime + std::chrono::duration_cast<Millis>(now - m_observedAt);
}

Millis LeaseClock::earliestTime(Instant now) const
{
    const auto elapsed = std::chrono::duration<double, std::milli>(now - m_observedAt);
    return m_observedTime + Millis(static_cast<Millis::rep>(elapsed.count() * (1 - m_drift)));
}

void LeaseClock::recordGranted(Millis expiry)
{
    m_grantedExpiry = std::max(m_grantedExpiry, expiry);
}

void LeaseClock::recordConfirmed(Millis expiry)
{
    m_confirmedExpiry = std::max(m_confirmedExpiry, expiry);
}

bool LeaseClock::allLeasesExpired(Instant now, Millis slack) const
{
    return m_isKnown && earliestTime(now) > m_grantedExpiry + slack;
}

} // namespace oleanderhall
