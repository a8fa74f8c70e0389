#include "oleanderhall/teams/admissionpolicy.h"

#include <algorithm>

namespace oleanderhall {

namespace {

// An entry host that has accepted none of few calls can't tell the share that all hosts accept.
constexpr double kPriorCalls = 0.2;
constexpr Millis kMinTurn{1000}; // the header that tells it has whole seconds
constexpr Millis kMaxTurn{6000}; // most floods end within seconds

} // namespace

AdmissionPolicy::AdmissionPolicy(Millis rateWindow, double spreadStart)
    : m_arrived(rateWindow)
    , m_accepted(rateWindow)
    , m_spread(spreadStart)
{}

/// Returns the share of the team's calls that makes up its weight.
double AdmissionPolicy::owedShare(TeamId team, const Inputs &inputs, Instant now) const
{
    if (inputs.weight <= 0)
        return 0;
    if (inputs.acceptedRate <= 0)
        return 1;
    const double acceptedShare = (m_accepted.count(team, now) + kPriorCalls)
        / (m_arrived.count(team, now) + kPriorCalls);
    const double arrivalRate = inputs.acceptedRate / acceptedShare;
    return std::min(1.0, inputs.weight / arrivalRate);
}

/// Returns when this host would accept the last of the calls that it has refused in the window.
Millis AdmissionPolicy::expectedTurn(TeamId team, Instant now) const
{
    const int accepted = m_accepted.count(team, now);
    const int refused = m_arrived.count(team, now) - accepted;
    return std::clamp(m_arrived.window() * refused / std::max(1, accepted), kMinTurn, kMaxTurn);
}

AdmissionPolicy::Verdict AdmissionPolicy::decide(TeamId team, const Inputs &inputs, Instant now)
{
    Verdict verdict;
    if (inputs.isKnown) {
        // Hosts that see few calls must not all begin with a refusal.
        auto credit = m_credits.find(team);
        if (credit == m_credits.end())
            credit = m_credits.emplace(team, m_spread.nextFraction()).first;
        credit->second += owedShare(team, inputs, now);
        verdict.isOverRate = credit->second < 1;
        credit->second -= verdict.isOverRate ? 0 : 1;
        verdict.isAccepted = !verdict.isOverRate || !inputs.isRoomShort;
    }
    m_arrived.add(team, now);
    if (verdict.isAccepted)
        m_accepted.add(team, now);
    else
        verdict.retryAfter = m_spread.next(expectedTurn(team, now));
    return verdict;
}

} // namespace oleanderhall
