#include "oleanderhall/scheduling/arrivalrate.h"

#include <algorithm>
#include <cmath>

namespace oleanderhall {

double ArrivalRate::Average::decay(Instant now) const
{
    const std::chrono::duration<double> elapsed = now - m_updated;
    return std::exp(-elapsed.count() / timeConstant());
}

void ArrivalRate::Average::add(double amount, Instant now)
{
    const double factor = decay(now);
    m_sum = m_sum * factor + amount;
    m_sumOfSquares = m_sumOfSquares * factor * factor + amount * amount;
    m_updated = now;
}

double ArrivalRate::Average::mean(Instant now) const
{
    return m_sum * decay(now) / timeConstant();
}

double ArrivalRate::Average::variance(Instant now) const
{
    const double factor = decay(now) / timeConstant();
    return m_sumOfSquares * factor * factor;
}

void ArrivalRate::add(double amount, Instant now)
{
    m_fast.add(amount, now);
    m_slow.add(amount, now);
}

double ArrivalRate::rateAhead(Instant now, Millis ahead) const
{
    const double slow = m_slow.mean(now);
    const double difference = m_fast.mean(now) - slow;
    const double scatter = std::sqrt(m_fast.variance(now) + m_slow.variance(now));
    const double change = std::copysign(std::max(0.0, std::abs(difference) - scatter), difference);
    const double level = slow + change;
    // A fall is followed, not foreseen: hosts that are given back too early have to come again.
    const double slope = std::max(0.0, change) / (m_slow.timeConstant() - m_fast.timeConstant());
    const double lead = m_fast.timeConstant() + std::chrono::duration<double>(ahead).count();
    return std::min(level + slope * lead, kMaxGrowth * level);
}

} // namespace oleanderhall
