#pragma once

#include "oleanderhall/core/time.h"

namespace oleanderhall {

/// An ArrivalRate estimates how much arrives in a second. Older arrivals count less and less, so
/// that it follows a sudden change within its memory.
class ArrivalRate
{
public:
    explicit ArrivalRate(Millis memory = Millis(700))
        : m_timeConstant(memory)
    {}

    void add(double amount, Instant now);
    /// Returns the rate in amounts a second.
    double rate(Instant now) const;

private:
    double decayed(Instant now) const;

    Millis m_timeConstant;
    double m_decayedSum = 0;
    Instant m_updated{};
};

} // namespace oleanderhall
