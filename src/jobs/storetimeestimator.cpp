#include "oleanderhall/jobs/storetimeestimator.h"

#include <algorithm>

namespace oleanderhall {

namespace {

// A slow table recovers within seconds, and only a new transaction can show it.
constexpr Millis kDurationLifetime{1000};
// A partition of the table refuses transactions once those in its queue take longer than this.
constexpr Millis kFullQueueTime{1000};

} // namespace

void StoreTimeEstimator::onCompleted(Instant now)
{
    if (m_sentAt)
        m_lastDuration = std::chrono::duration_cast<Millis>(now - *m_sentAt);
    m_sentAt.reset();
    m_answeredAt = now;
}

void StoreTimeEstimator::onRefused(Instant now)
{
    if (!m_sentAt)
        return;
    // A refusal takes as long as an answer without a queue.
    const auto elapsed = std::chrono::duration_cast<Millis>(now - *m_sentAt);
    m_lastDuration = kFullQueueTime + 2 * elapsed;
    m_sentAt.reset();
    m_answeredAt = now;
}

Millis StoreTimeEstimator::expectedDuration(Instant now) const
{
    return now - m_answeredAt <= kDurationLifetime ? m_lastDuration : Millis(0);
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
