#include "oleanderhall/jobs/storetimeestimator.h"

#include <algorithm>

namespace oleanderhall {

void StoreTimeEstimator::onCompleted(Instant now)
{
    if (m_sentAt)
        m_lastDuration = std::chrono::duration_cast<Millis>(now - *m_sentAt);
    m_sentAt.reset();
}

Millis StoreTimeEstimator::estimate(Instant now) const
{
    if (!m_sentAt)
        return Millis(0);
    const auto elapsed = std::chrono::duration_cast<Millis>(now - *m_sentAt);
    // The transaction in flight takes at least as long as it already has, and so does the next.
    const Millis duration = std::max(m_lastDuration, elapsed);
    return (duration - elapsed) + duration;
}

} // namespace oleanderhall
