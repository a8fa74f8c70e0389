#pragma once

#include "oleanderhall/core/time.h"
#include "oleanderhall/scheduling/teamload.h"

#include <string>
#include <vector>

namespace oleanderhall {

class Metrics;

/// Internal: shows operators what the teams use and wait for, as metrics of each team and as log
/// lines about teams with waiting jobs, one line a second and one team after the other.
class TeamReport
{
public:
    explicit TeamReport(Metrics &metrics)
        : m_metrics(metrics)
    {}

    /// Returns whether the next report is due.
    bool isDue(Instant now) const { return now >= m_next; }
    void report(const std::vector<TeamLoad> &loads, Instant now);

private:
    void setGauges(const std::vector<TeamLoad> &loads);

    Metrics &m_metrics;
    Instant m_next;
    TeamId m_lastLogged;
};

/// Internal: returns why jobs of the team wait: "inherited_tasks", "cap", "rate" or "share".
const char *waitReasonOf(const TeamLoad &load);

} // namespace oleanderhall
