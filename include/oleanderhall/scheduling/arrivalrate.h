#pragma once

#include "oleanderhall/core/time.h"

namespace oleanderhall {

/// An ArrivalRate estimates how much arrives per second. The weight of an arrival decays
/// exponentially, so that the estimate follows a sudden change within about `timeConstant`.
class ArrivalRate
{
public:
    explicit ArrivalRate(Millis timeConstant = Millis(700))
        : m_timeConstant(timeConstant)
    {}

    void add(double amount, Instant now);
    /// Returns the estimated amount per second.
    double rate(Instant now) const;

private:
    double decayed(Instant now) const;

    Millis m_timeConstant;
    double m_decayedSum = 0;
    Instant m_updated{};
};

} // namespace oleanderhall
