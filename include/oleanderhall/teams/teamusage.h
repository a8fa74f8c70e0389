#pragma once

#include "oleanderhall/core/ids.h"
#include "oleanderhall/core/time.h"
#include "oleanderhall/jobs/resources.h"
#include "oleanderhall/teams/teamconfig.h"

#include <map>
#include <vector>

namespace oleanderhall {

/// A TeamUsage compares what each team has running, over all pools, with the team's cap. It is
/// told about runs and does not look for them. A resource for which the cap is 0 has no limit.
class TeamUsage
{
public:
    /// What a team has running, and what it may have running in addition.
    struct Amounts
    {
        Resources running; ///< Runs that are starting, running or being stopped.
        Resources possible; ///< What an earlier owner may have started on workers not read yet.
    };

    /// Sets the caps unless a later version is known. A lower cap applies at once, a higher one
    /// only kCapRaiseDelay later. A team that is missing in a later version keeps its cap, because
    /// its accepted jobs continue.
    void setTeams(ConfigVersion version, const std::vector<TeamConfig> &teams, Instant now);
    /// Returns whether setTeams() has been called.
    bool isConfigured() const { return m_isConfigured; }
    /// Returns the version that was set last.
    ConfigVersion version() const { return m_version; }

    void addRunning(TeamId team, const Resources &need);
    void removeRunning(TeamId team, const Resources &need);
    /// Replaces what earlier owners may have started.
    void setPossible(const std::map<TeamId, Resources> &possible);

    /// Returns whether `count` further tasks of `need` keep the team within its cap. A resource
    /// that the tasks don't use is not compared. One task that exceeds the cap by itself is
    /// admitted while the team has nothing else running, as it would never run otherwise.
    bool admits(TeamId team, const Resources &need, int count, Instant now) const;
    /// Returns whether the configuration contains the team.
    bool isKnown(TeamId team) const { return m_caps.contains(team); }
    /// Returns the cap that applies to new starts; zeros for a team without one.
    Resources cap(TeamId team, Instant now) const;
    Amounts amounts(TeamId team) const;

private:
    struct Cap
    {
        Resources latest;
        Resources earlier; ///< The lowest caps that were in force shortly before.
        Instant changed{};
    };

    /// The operators may learn of a new version a little after the owner. Until then the earlier
    /// cap may still be in force for them.
    static constexpr Millis kCapRaiseDelay{1000};

    Resources inForce(const Cap &cap, Instant now) const;

    ConfigVersion m_version;
    bool m_isConfigured = false;
    std::map<TeamId, Cap> m_caps;
    std::map<TeamId, Amounts> m_amounts;
};

} // namespace oleanderhall
