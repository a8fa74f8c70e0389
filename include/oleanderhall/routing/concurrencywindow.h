#pragma once

#include "oleanderhall/core/time.h"

namespace oleanderhall {

/// A ConcurrencyWindow is one entry host's share of an upstream's slots. It starts at an even
/// share, grows while it is used to the full and answers come, and shrinks when the upstream
/// refuses for want of a slot. The even share itself is never given up.
class ConcurrencyWindow
{
public:
    /// `slots` is what the upstream has in all, `entryHosts` how many share it.
    ConcurrencyWindow(int slots, int entryHosts);

    /// Sets how many entry hosts share the upstream.
    void setEntryHostCount(int entryHosts);
    /// Returns how many requests may be in flight.
    int size() const { return static_cast<int>(m_size); }
    void onResponse(int inFlight, Instant now);
    void onRefusal(Instant now);

private:
    int m_slots;
    double m_evenShare;
    double m_size;
    Instant m_growAfter;
};

} // namespace oleanderhall
