#pragma once

#include "oleanderhall/core/time.h"

namespace oleanderhall {

/// An AccessLease is an entry host's right to admit calls by its copy of the teams' keys. A
/// withdrawn key must stop working everywhere within a fixed time, also on a host that is cut off
/// from the configuration, so the right ends when the copy has not been confirmed for too long.
/// Times are those of monotonicNow(), which also counts while the machine is suspended.
class AccessLease
{
public:
    /// `keyWithdrawalTimeout` is the longest time for which a withdrawn key may work; 0 means that
    /// the right never ends.
    explicit AccessLease(Millis keyWithdrawalTimeout = Millis(0))
        : m_duration(keyWithdrawalTimeout * kUsablePercent / 100)
    {}

    /// Records that a read of the configuration that was sent at `sentAt` has confirmed the copy.
    /// A change that was acknowledged before that instant is part of the copy.
    void confirm(Instant sentAt)
    {
        if (sentAt > m_confirmedAt)
            m_confirmedAt = sentAt;
    }

    bool isValid(Instant now) const
    {
        return m_duration.count() == 0
            || (m_confirmedAt != Instant() && now - m_confirmedAt <= m_duration);
    }
    /// Returns how long ago the copy was confirmed.
    Millis age(Instant now) const
    {
        return std::chrono::duration_cast<Millis>(now - m_confirmedAt);
    }

private:
    /// The rest of the time is a margin for clocks that run at slightly different rates. Two long
    /// polls of the configuration and a slow answer fit into the lease.
    static constexpr int kUsablePercent = 80;

    Millis m_duration;
    Instant m_confirmedAt{};
};

} // namespace oleanderhall
