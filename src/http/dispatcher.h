#pragma once

#include <utility>

#include "call.h"
#include "claimservice.h"
#include "requesttraces.h"
#include "routetable.h"
#include "upstreamclient.h"

#include "oleanderhall/membership/viewlease.h"
#include "oleanderhall/routing/retrybudget.h"
#include "oleanderhall/routing/retryreason.h"

#include <boost/asio/awaitable.hpp>

#include <mutex>

namespace oleanderhall {

class Metrics;

/// Internal: what a Dispatcher uses. The references must outlive it.
struct DispatcherDependencies
{
    RouteTable &routes;
    UpstreamClient &upstreams;
    ClaimService &claims;
    const ViewLease &view;
    Metrics &metrics;
    RequestTraces &traces;
    int retryPercent = 10; ///< Retry budget, in percent of the first attempts.
};

/// Internal: routes a call to an upstream and returns its one final reply. Acquires a slot and, for
/// an unrepeatable call, a claim; sends the call; retries within the deadline and the retry budget;
/// refuses otherwise.
class Dispatcher
{
public:
    explicit Dispatcher(DispatcherDependencies dependencies);

    /// Completes with the upstream's response, a replayed response or a refusal. Records the
    /// outcome in the claim, the metrics and the request's trace.
    boost::asio::awaitable<Reply> dispatch(Call call);

private:
    struct Progress;

    // Functions that return an optional reply return nothing if another attempt is to follow.
    boost::asio::awaitable<std::optional<Reply>> attempt(Call &call, Progress &progress);
    /// Returns nothing if the claim was acquired.
    boost::asio::awaitable<std::optional<Reply>> acquireClaim(Call &call, Progress &progress);
    std::optional<Reply> handleOutcome(Call &call, Progress &progress, const Endpoint &endpoint,
                                       UpstreamOutcome outcome);
    std::optional<Reply> retryOrRefuse(const Call &call, Progress &progress, RetryReason reason,
                                       const Refusal &refusal);
    Reply forwardResponse(const Call &call, Progress &progress, Reply reply);
    Reply refuse(const Call &call, Progress &progress, Refusal refusal);
    bool acquireRetry();

    DispatcherDependencies m_deps;
    std::mutex m_budgetMutex;
    RetryBudget m_budget;
};

} // namespace oleanderhall
