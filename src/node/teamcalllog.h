#pragma once

#include "oleanderhall/core/ids.h"
#include "oleanderhall/core/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace oleanderhall {

/// Internal: the outcomes of the teams' calls for new jobs, for metrics and for one log line a
/// second. The number of names is bounded, whatever the configurations contain.
class TeamCallLog
{
public:
    /// Counts a call of `team` with `outcome`, which is `accepted` or the reason of a refusal.
    /// Returns the labels of its metric.
    std::string record(TeamId team, const std::string &outcome);
    /// Returns the counts since the last line if a call was refused and the last line was returned
    /// at least a second ago. It has the form `team:outcome=count,...` for each team and outcome.
    std::optional<std::string> takeLine(Instant now);

    static constexpr std::size_t kMaxNames = 64; ///< Further teams are counted together.

private:
    std::set<TeamId> m_named;
    std::map<std::string, std::map<std::string, std::int64_t>> m_counts; ///< By team and outcome.
    bool m_hasRefusals = false;
    Instant m_lastLine{};
};

} // namespace oleanderhall
