#pragma once

#include "oleanderhall/core/time.h"

namespace oleanderhall {

/// An ArrivalRate estimates how much arrives per second, now and shortly. It keeps a fast and a
/// slow average with exponential decay. During a steady rise or fall both lag behind, each by its
/// time constant, so their difference is the slope.
class ArrivalRate
{
public:
    void add(double amount, Instant now);
    /// Returns the estimated amount per second.
    double rate(Instant now) const { return m_fast.mean(now); }
    /// Returns the amount per second to expect `ahead` from now, at most kMaxGrowth times the
    /// present one. Where the scatter of the arrivals explains the difference of the averages, as
    /// with few arrivals, it returns the slow one.
    double rateAhead(Instant now, Millis ahead) const;

private:
    /// An exponentially decaying average of the amount per second.
    class Average
    {
    public:
        explicit Average(Millis timeConstant)
            : m_timeConstant(timeConstant)
        {}
        void add(double amount, Instant now);
        double mean(Instant now) const;
        /// Returns the variance of mean() if the arrivals are independent of each other.
        double variance(Instant now) const;
        double timeConstant() const
        {
            return std::chrono::duration<double>(m_timeConstant).count();
        }

    private:
        double decay(Instant now) const;

        Millis m_timeConstant;
        double m_sum = 0;
        double m_sumOfSquares = 0;
        Instant m_updated{};
    };

    static constexpr Millis kFastTimeConstant{400};
    static constexpr Millis kSlowTimeConstant{1200};
    static constexpr double kMaxGrowth = 2;

    Average m_fast{kFastTimeConstant};
    Average m_slow{kSlowTimeConstant};
};

} // namespace oleanderhall
