#include "oleanderhall/teams/teamratelimiter.h"

#include <algorithm>

namespace oleanderhall {

bool TeamRateLimiter::isOverRate(TeamId team, double jobsPerSecond, std::int64_t acceptedMs)
{
    if (team.empty() || jobsPerSecond <= 0)
        return false;
    std::deque<std::int64_t> &times = m_accepted[team];
    const auto first = std::upper_bound(times.begin(), times.end(), acceptedMs - m_window.count());
    const auto last = std::upper_bound(first, times.end(), acceptedMs);
    const double seconds = std::chrono::duration<double>(m_window).count();
    const double limit = std::max(1.0, jobsPerSecond * seconds);
    if (static_cast<double>(last - first) + 1 > limit)
        return true;
    times.insert(last, acceptedMs);
    // Twice the window, for jobs that are read in another order than they were accepted.
    while (times.front() < times.back() - 2 * m_window.count())
        times.pop_front();
    return false;
}

} // namespace oleanderhall
