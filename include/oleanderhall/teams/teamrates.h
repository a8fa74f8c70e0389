#pragma once

#include "oleanderhall/core/ids.h"
#include "oleanderhall/core/time.h"

#include <map>

namespace oleanderhall {

/// A TeamRates counts the jobs of each team in a sliding window.
class TeamRates
{
public:
    explicit TeamRates(Millis window)
        : m_window(window)
    {}

    /// Counts a job of `team` that was accepted at `at`.
    void add(TeamId team, Instant at);
    /// Returns the number of jobs of `team` in the window that ends at `now`.
    int count(TeamId team, Instant now) const;
    /// Returns the same as jobs a second.
    double rate(TeamId team, Instant now) const;
    Millis window() const { return m_window; }

private:
    Millis m_window;
    /// The number of jobs by the start of a short time, for each team.
    std::map<TeamId, std::map<Instant, int>> m_slots;
};

} // namespace oleanderhall
