#pragma once

#include "oleanderhall/core/ids.h"
#include "oleanderhall/core/time.h"
#include "oleanderhall/teams/retryspread.h"
#include "oleanderhall/teams/teamrates.h"

#include <map>

namespace oleanderhall {

/// An AdmissionPolicy decides at one entry host which jobs of a team are accepted. A team is owed
/// as many jobs a second as its weight. Where room is short, jobs beyond that are refused at once,
/// with the time at which a retry is expected to be accepted. Each entry host sees only some of a
/// team's calls. It estimates how many there are everywhere from the rate that the owner publishes
/// and from the share of its own calls that it has accepted, and lets the same share of them pass.
class AdmissionPolicy
{
public:
    /// What is known of a team and of the pool that would run its job.
    struct Inputs
    {
        double weight = 0; ///< The jobs a second that the team is owed.
        double acceptedRate = 0; ///< Jobs a second that all entry hosts accepted; 0 if few.
        bool isRoomShort = false; ///< The job would wait if it was placed after all others.
        bool isKnown = false; ///< The members above are recent enough for a decision.
    };
    struct Verdict
    {
        bool isAccepted = true;
        bool isOverRate = false; ///< The team is not owed this job.
        Millis retryAfter{0}; ///< When to retry a job that is not accepted.
    };

    /// `rateWindow` is the time over which rates are measured. `spreadStart` is as in RetrySpread.
    explicit AdmissionPolicy(Millis rateWindow, double spreadStart = 0);

    /// Decides about a job of `team` that arrives at `now`.
    Verdict decide(TeamId team, const Inputs &inputs, Instant now);

private:
    double owedShare(TeamId team, const Inputs &inputs, Instant now) const;
    Millis expectedTurn(TeamId team, Instant now) const;

    TeamRates m_arrived;
    TeamRates m_accepted;
    std::map<TeamId, double> m_credits; ///< Parts of jobs that are owed, below 1.
    RetrySpread m_spread;
};

} // namespace oleanderhall
