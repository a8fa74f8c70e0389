#include "teamreport.h"

#include "../daemon/log.h"
#include "../daemon/metrics.h"

#include <algorithm>
#include <cctype>

namespace oleanderhall {

namespace {

constexpr Millis kReportInterval{1000};
constexpr std::size_t kMaxLabels = 64; // teams with metrics of their own; the others are left out

/// Returns the team's name as the value of a label, which may contain no quote or control
/// character.
std::string labelOf(TeamId team)
{
    std::string text = team.empty() ? "none" : team.name();
    std::replace_if(
        text.begin(), text.end(),
        [](unsigned char character) {
            return std::isalnum(character) == 0 && character != '-' && character != '_'
                && character != '.';
        },
        '_');
    return "{team=\"" + text + "\"}";
}

std::string textOf(const Resources &amount)
{
    return std::to_string(amount.milliCores) + "/" + std::to_string(amount.memoryMb) + "/"
        + std::to_string(amount.gpus);
}

} // namespace

const char *waitReasonOf(const TeamLoad &load)
{
    if (load.isAtCap)
        return load.possiblyRunning == Resources() ? "cap" : "inherited_tasks";
    return load.overRateJobs == load.waitingJobs ? "rate" : "share";
}

void TeamReport::report(const std::vector<TeamLoad> &loads, Instant now)
{
    m_next = now + kReportInterval;
    setGauges(loads);
    const auto isWaiting = [](const TeamLoad &load) {
        return load.waitingJobs > 0 && !load.team.empty();
    };
    // `loads` is ordered by team: continues after the team of the last line.
    const auto after = std::find_if(loads.begin(), loads.end(), [&](const TeamLoad &load) {
        return isWaiting(load) && load.team > m_lastLogged;
    });
    const auto next = after != loads.end() ? after
                                           : std::find_if(loads.begin(), loads.end(), isWaiting);
    if (next == loads.end())
        return;
    m_lastLogged = next->team;
    logInfo("team_waits",
            {{"team", next->team.name()},
             {"reason", waitReasonOf(*next)},
             {"waiting", std::to_string(next->waitingJobs)},
             {"over_rate", std::to_string(next->overRateJobs)},
             {"running", textOf(next->running)},
             {"possibly_running", textOf(next->possiblyRunning)},
             {"cap", textOf(next->cap)},
             {"share", std::to_string(next->share)},
             {"weight", std::to_string(next->weight)}});
}

void TeamReport::setGauges(const std::vector<TeamLoad> &loads)
{
    for (std::size_t index = 0; index < std::min(loads.size(), kMaxLabels); ++index) {
        const TeamLoad &load = loads[index];
        const std::string label = labelOf(load.team);
        const auto set = [&](const char *name, std::int64_t value) {
            m_metrics.gauge(name + label, static_cast<double>(value));
        };
        set("team_running_millicores", load.running.milliCores);
        set("team_running_mb", load.running.memoryMb);
        set("team_running_gpus", load.running.gpus);
        set("team_cap_millicores", load.cap.milliCores);
        set("team_cap_mb", load.cap.memoryMb);
        set("team_cap_gpus", load.cap.gpus);
        set("team_waiting_jobs", load.waitingJobs);
        set("team_over_rate_jobs", load.overRateJobs);
        m_metrics.gauge("team_pool_share" + label, load.share);
        m_metrics.gauge("team_weight" + label, load.weight);
    }
}

} // namespace oleanderhall
