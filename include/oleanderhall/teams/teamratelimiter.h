#pragma once

#include "oleanderhall/core/ids.h"
#include "oleanderhall/core/time.h"

#include <cstdint>
#include <deque>
#include <map>

namespace oleanderhall {

/// A TeamRateLimiter tells the jobs that a team sends at its rate from those beyond it, over a
/// sliding window. It goes by the time at which a job was accepted, so that another owner that is
/// given the same jobs in order comes to the same result.
class TeamRateLimiter
{
public:
    explicit TeamRateLimiter(Millis window)
        : m_window(window)
    {}

    /// Returns whether a job exceeds its team's rate, and counts it if it doesn't. `acceptedMs` is
    /// a time on the table service's clock. A rate of 0 means no limit.
    bool isOverRate(TeamId team, double jobsPerSecond, std::int64_t acceptedMs);

private:
    Millis m_window;
    /// When the jobs of each team that did not exceed its rate were accepted, in order.
    std::map<TeamId, std::deque<std::int64_t>> m_accepted;
};

} // namespace oleanderhall
