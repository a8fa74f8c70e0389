#include "oleanderhall/scheduling/arrivalrate.h"

#include <cmath>

namespace oleanderhall {

double ArrivalRate::decayed(Instant now) const
{
    const std::chrono::duration<double> elapsed = now - m_updated;
    const std::chrono::duration<double> timeConstant = m_timeConstant;
    return m_decayedSum * std::exp(-elapsed.count() / timeConstant.count());
}

void ArrivalRate::add(double amount, Instant now)
{
    m_decayedSum = decayed(now) + amount;
    m_updated = now;
}

double ArrivalRate::rate(Instant now) const
{
    const std::chrono::duration<double> timeConstant = m_timeConstant;
    return decayed(now) / timeConstant.count();
}

} // namespace oleanderhall
