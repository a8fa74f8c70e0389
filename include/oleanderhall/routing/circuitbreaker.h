#pragma once

#include "oleanderhall/core/time.h"

namespace oleanderhall {

/// An CircuitBreaker keeps requests from waiting for something that is known to be away. After a
/// failure it lets one request through from time to time to find out whether the outage has ended,
/// and turns the others down at once. It is not synchronised.
class CircuitBreaker
{
public:
    /// `probePeriod` is the time between two tries during an outage.
    explicit CircuitBreaker(Millis probePeriod)
        : m_probeInterval(probePeriod)
    {}

    /// Says whether a request may try now. During an outage, a yes is the probe of its period.
    bool allowRequest(Instant now)
    {
        if (!m_isOpen)
            return true;
        if (now < m_nextProbe)
            return false;
        m_nextProbe = now + m_probeInterval;
        return true;
    }
    void recordSuccess() { m_isOpen = false; }
    void recordFailure(Instant now)
    {
        if (!m_isOpen)
            m_nextProbe = now + m_probeInterval;
        m_isOpen = true;
    }

private:
    Millis m_probeInterval;
    bool m_isOpen = false;
    Instant m_nextProbe;
};

} // namespace oleanderhall
