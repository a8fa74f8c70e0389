#pragma once

#include "oleanderhall/core/time.h"

namespace oleanderhall {

/// A LeaseClock estimates one worker's monotonic clock from its answers. It serves to compute the
/// expiry of leases on that clock and to determine when all leases have certainly expired.
class LeaseClock
{
public:
    /// `drift` is the fraction by which the worker's clock may run slow.
    explicit LeaseClock(double drift)
        : m_drift(drift)
    {}

    /// Returns whether the clock was read at least once.
    bool isKnown() const { return m_isKnown; }
    /// Records that the worker's clock showed `clock` at `receivedAt` or shortly before.
    void update(Millis clock, Instant receivedAt);
    /// Returns the worker's clock at `now`, extrapolated from the last observation without drift.
    Millis estimatedTime(Instant now) const;
    /// Returns a lower bound of the worker's clock at `now`, for a clock that runs slow by the
    /// configured drift.
    Millis earliestTime(Instant now) const;
    /// Returns how long ago the clock was last observed.
    Millis age(Instant now) const { return std::chrono::duration_cast<Millis>(now - m_observedAt); }
    /// Records that a command was sent whose lease expires at `expiry` on the worker's clock.
    void recordGranted(Millis expiry);
    /// Records that the worker has accepted a lease that expires at `expiry`.
    void recordConfirmed(Millis expiry);
    /// Returns the expiry of the longest lease that the worker is known to hold. A command that
    /// was not answered may have granted a longer one.
    Millis confirmedExpiry() const { return m_confirmedExpiry; }
    /// Returns whether, on the worker's clock, every granted lease expired more than `slack` ago,
    /// even if that clock runs slow by the configured drift.
    bool allLeasesExpired(Instant now, Millis slack) const;

private:
    double m_drift;
    bool m_isKnown = false;
    Millis m_observedTime{0};
    Instant m_observedAt;
    Millis m_grantedExpiry{0};
    Millis m_confirmedExpiry{0};
};

} // namespace oleanderhall
