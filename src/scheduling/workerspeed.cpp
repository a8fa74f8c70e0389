#include "oleanderhall/scheduling/workerspeed.h"

#include <algorithm>
#include <cmath>

namespace oleanderhall {

namespace {

constexpr double kObservationWeight = 0.4; // two slow runs in a row are no accident
constexpr double kMaxRatio = 10; // keeps one bad estimate from excluding a worker for long
constexpr Millis kDecayTime{10000}; // as long as a few tasks

} // namespace

double WorkerSpeed::slowness(Instant now) const
{
    const std::chrono::duration<double> elapsed = now - m_updated;
    return 1 + m_excess * std::exp(-elapsed / std::chrono::duration<double>(kDecayTime));
}

void WorkerSpeed::observe(double ratio, Instant now)
{
    const double before = slowness(now);
    const double observed = std::clamp(ratio, 0.0, kMaxRatio);
    m_excess = before + kObservationWeight * (observed - before) - 1;
    m_updated = now;
}

} // namespace oleanderhall
