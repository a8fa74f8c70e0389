#pragma once

#include "oleanderhall/core/time.h"

namespace oleanderhall {

/// A ConcurrencyWindow limits how many requests one entry host has in flight at an upstream. It
/// adapts as in congestion control: it starts at an even share of the upstream's slots, grows with
/// the responses while it is fully used, and shrinks when the upstream refuses a request for lack
/// of a free slot. It never falls below the even share.
class ConcurrencyWindow
{
public:
    /// `slots` is the number of requests that the upstream executes at a time; `entryHostCount`
    /// entry hosts share them.
    ConcurrencyWindow(int slots, int entryHostCount);

    /// Sets the number of entry hosts that share the upstream, and with it the even share.
    void setEntryHostCount(int entryHostCount);
    /// Returns the highest number of requests that may be in flight.
    int size() const { return static_cast<int>(m_size); }
    /// Grows the window if `inFlight` requests fill it and its growth is not suspended.
    void onResponse(int inFlight, Instant now);
    /// Shrinks the window and suspends its growth for a while.
    void onRefusal(Instant now);

private:
    int m_slots;
    double m_evenShare;
    double m_size;
    Instant m_growAfter;
};

} // namespace oleanderhall
