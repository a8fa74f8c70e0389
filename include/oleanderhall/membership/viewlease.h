#pragma once

#include "oleanderhall/core/time.h"

#include <atomic>

namespace oleanderhall {

/// A ViewLease tells whether an entry host's view is recent enough to use upstreams in other zones.
/// It is renewed with the time at which a successful read of the log's head was started, so that a
/// slow answer or a pause of the process never makes the view appear newer than it is. It is
/// thread-safe.
class ViewLease
{
public:
    explicit ViewLease(Millis length)
        : m_length(length)
    {}

    /// Records that the view was current at `readStarted` or later. Has no effect if a later time
    /// is already recorded.
    void renew(Instant readStarted)
    {
        Instant known = m_renewed.load();
        while (known < readStarted && !m_renewed.compare_exchange_weak(known, readStarted)) {}
    }
    bool isFresh(Instant now) const { return age(now) < m_length; }
    /// Returns an upper bound of the view's age.
    Millis age(Instant now) const
    {
        return std::chrono::duration_cast<Millis>(now - m_renewed.load());
    }

private:
    Millis m_length;
    std::atomic<Instant> m_renewed{Instant{}};
};

} // namespace oleanderhall
