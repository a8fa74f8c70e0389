#include "oleanderhall/routing/tablespeed.h"

namespace oleanderhall {

void TableSpeed::removeInFlight(Instant sentAt)
{
    const auto found = m_inFlight.find(sentAt);
    if (found != m_inFlight.end())
        m_inFlight.erase(found);
}

void TableSpeed::onExecuted(Instant sentAt, Instant now)
{
    removeInFlight(sentAt);
    m_duration = std::chrono::duration_cast<Millis>(now - sentAt);
    m_measuredAt = now;
    observe(*m_duration, now);
}

void TableSpeed::onQueueFull(Instant sentAt, Instant now)
{
    removeInFlight(sentAt);
    enterSlow(now);
}

void TableSpeed::onFailed(Instant sentAt, Instant now)
{
    removeInFlight(sentAt);
    if (now - sentAt >= kSlowInFlight)
        enterSlow(now);
}

void TableSpeed::enterSlow(Instant now)
{
    m_isSlow = true;
    m_slowInARow = kSlowToEnter;
    m_fastInARow = 0;
    m_lastSlow = now;
}

void TableSpeed::observe(Millis duration, Instant now)
{
    if (now - m_lastSlow > kMemory) {
        m_isSlow = false;
        m_slowInARow = 0;
    }
    if (duration >= kSlowInFlight) {
        enterSlow(now);
    } else if (duration >= kSlowFrom) {
        ++m_slowInARow;
        m_fastInARow = 0;
        m_lastSlow = now;
        m_isSlow = m_isSlow || m_slowInARow >= kSlowToEnter;
    } else {
        m_slowInARow = 0;
        m_fastInARow = duration <= kFastUpTo ? m_fastInARow + 1 : 0;
        m_isSlow = m_isSlow && m_fastInARow < kFastToLeave;
    }
}

bool TableSpeed::isSlow(Instant now) const
{
    if (!m_inFlight.empty() && now - *m_inFlight.begin() >= kSlowInFlight)
        return true;
    return m_isSlow && now - m_lastSlow <= kMemory;
}

std::optional<Millis> TableSpeed::latestDuration(Instant now) const
{
    std::optional<Millis> result = now - m_measuredAt <= kReportLifetime ? m_duration
                                                                         : std::nullopt;
    if (!m_inFlight.empty()) {
        const auto waiting = std::chrono::duration_cast<Millis>(now - *m_inFlight.begin());
        if (waiting >= result.value_or(kSlowFrom))
            result = waiting;
    }
    return result;
}

} // namespace oleanderhall
