#include "oleanderhall/ownership/eventlooplag.h"

#include <algorithm>
#include <numeric>

namespace oleanderhall {

void EventLoopLag::record(Instant due, Instant now)
{
    const Millis lag = std::chrono::duration_cast<Millis>(now - due);
    m_samples[m_next] = std::clamp(lag, Millis(0), kMaxSample);
    m_next = (m_next + 1) % kSamples;
}

Millis EventLoopLag::average() const
{
    return std::accumulate(m_samples.begin(), m_samples.end(), Millis(0))
        / static_cast<Millis::rep>(kSamples);
}

} // namespace oleanderhall
