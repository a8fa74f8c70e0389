#pragma once

#include "oleanderhall/core/time.h"

namespace oleanderhall {

/// A LeaseClock follows one worker's steady clock from its answers, to set the end of leases and
/// to tell when everything that ran there must have ended.
class LeaseClock
{
public:
    explicit LeaseClock(double drift)
        : m_drift(drift)
    {}

    bool isKnown() const { return m_isKnown; }
    /// Records that the worker's clock stood at `clock` at `heard` or a little earlier.
    void update(Millis clock, Instant heard);
    /// Returns the latest time that the worker's clock can show at `now`.
    Millis latestTime(Instant now) const;
    /// Records that an order was sent that lets runs go on until `end` on the worker's clock.
    void recordGranted(Millis end);
    /// Records that the worker has answered an order with a lease until `end`.
    void recordConfirmed(Millis end);
    /// Returns the end of the longest lease that the worker is known to hold. A longer one may have
    /// been granted by an order that was lost.
    Millis confirmedExpiry() const { return m_confirmedExpiry; }
    /// Returns whether the worker's clock has certainly passed every granted lease.
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
