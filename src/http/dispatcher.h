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

/// Internal: the parts of the entry host that a Dispatcher works with.
struct DispatcherDependencies
{
    RouteTable &routes;
    UpstreamClient &upstreams;
    ClaimService &claims;
    const ViewLease &view;
    Metrics &metrics;
    RequestTraces &traces;
    int retryPercent = 10; ///< Highest share of retries in first tries, in percent.
};

/// Internal: takes a checked call to its one final reply: claim, slot, attempt, retry, refusal.
class Dispatcher
{
public:
    explicit Dispatcher(DispatcherDependencies parts);

    boost::asio::awaitable<Reply> dispatch(Call call);

private:
    struct Progress;

    boost::asio::awaitable<std::optional<Reply>> attempt(Call &call, Progress &progress);
    boost::asio::awaitable<std::optional<Reply>> acquireClaim(Call &call, Progress &progress);
    std::optional<Reply> handleOutcome(Call &call, Progress &progress, const Endpoint &endpoint,
                                       UpstreamOutcome outcome);
    std::optional<Reply> retryOrRefuse(const Call &call, Progress &progress, RetryReason retry,
                                       const Refusal &refusal);
    Reply forwardResponse(const Call &call, Progress &progress, Reply reply);
    Reply refuse(const Call &call, Progress &progress, Refusal refusal);
    bool acquireRetry();

    DispatcherDependencies m_deps;
    std::mutex m_budgetMutex;
    RetryBudget m_budget;
};

} // namespace oleanderhall
