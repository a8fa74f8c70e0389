#include "oleanderhall/scheduling/leaseclock.h"

#include <algorithm>

namespace oleanderhall {

void LeaseClock::update(Millis clock, Instant heard)
{
    // Answers on different connections may overtake each other: keep the one that is furthest on.
    if (m_isKnown && clock < m_observedTime)
        return;
    m_isKnown = true;
    m_observedTime = clock;
    m_observedAt = heard;
}

Millis LeaseClock::latestTime(Instant now) const
{
    return m_observedTime + std::chrono::duration_cast<Millis>(now - m_observedAt);
}

void LeaseClock::recordGranted(Millis end)
{
    m_grantedExpiry = std::max(m_grantedExpiry, end);
}

void LeaseClock::recordConfirmed(Millis end)
{
    m_confirmedExpiry = std::max(m_confirmedExpiry, end);
}

bool LeaseClock::allLeasesExpired(Instant now, Millis slack) const
{
    if (!m_isKnown)
        return false;
    const auto elapsed = std::chrono::duration<double, std::milli>(now - m_observedAt);
    const auto earliest = m_observedTime
        + Millis(static_cast<Millis::rep>(elapsed.count() * (1 - m_drift)));
    return earliest > m_grantedExpiry + slack;
}

} // namespace oleanderhall
