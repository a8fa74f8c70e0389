#pragma once

#include "oleanderhall/core/time.h"

namespace oleanderhall {

/// A CircuitBreaker rejects requests to an unavailable dependency at once, so that they don't wait
/// for it. After a failure it is open: it lets one probe request through per interval, which finds
/// out whether the outage has ended, and rejects the others. The first success closes it. It is not
/// synchronised.
class CircuitBreaker
{
public:
    /// `probeInterval` is the time between two probes while the breaker is open.
    explicit CircuitBreaker(Millis probeInterval)
        : m_probeInterval(probeInterval)
    {}

    /// Returns whether a request may be sent now. While the breaker is open, true means that this
    /// request is the probe of the current interval.
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
