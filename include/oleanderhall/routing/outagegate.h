#pragma once

#include "oleanderhall/core/time.h"

namespace oleanderhall {

/// An OutageGate keeps requests from waiting for something that is known to be away. After a
/// failure it lets one request through from time to time to find out whether the outage has ended,
/// and turns the others down at once. It is not synchronised.
class OutageGate
{
public:
    /// `probePeriod` is the time between two tries during an outage.
    explicit OutageGate(Millis probePeriod)
        : m_probePeriod(probePeriod)
    {}

    /// Says whether a request may try now. During an outage, a yes is the probe of its period.
    bool mayTry(Instant now)
    {
        if (!m_isOut)
            return true;
        if (now < m_nextProbe)
            return false;
        m_nextProbe = now + m_probePeriod;
        return true;
    }
    void succeeded() { m_isOut = false; }
    void failed(Instant now)
    {
        if (!m_isOut)
            m_nextProbe = now + m_probePeriod;
        m_isOut = true;
    }

private:
    Millis m_probePeriod;
    bool m_isOut = false;
    Instant m_nextProbe;
};

} // namespace oleanderhall
