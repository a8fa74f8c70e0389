#pragma once

#include "oleanderhall/core/time.h"
#include "oleanderhall/register/servicerule.h"
#include "oleanderhall/routing/attemptresult.h"
#include "oleanderhall/routing/concurrencywindow.h"
#include "oleanderhall/routing/endpoint.h"
#include "oleanderhall/routing/refusal.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <variant>
#include <vector>

namespace oleanderhall {

/// Names a request that waits for a slot.
using WaiterId = StrongNumber<struct WaiterTag>;

/// What a ServiceRouter needs to know of its entry host.
struct RouterSettings
{
    ZoneId zone;
    int entryHostCount = 1;
    std::size_t maxWaiting = 64; ///< Requests that may wait for a slot.
    std::uint32_t seed = 1;
};

/// A slot at an upstream, to be given back by ServiceRouter::finish().
struct SlotGrant
{
    Endpoint endpoint;
    WaiterId waiter; ///< The request that waited for it, or zero when it was granted at once.
};

/// The request waits; a later finish() or setEndpoints() grants it, or cancel() ends the wait.
struct Waiting
{
    WaiterId id;
};

using Admission = std::variant<SlotGrant, Waiting, Refusal>;

/// What is asked for: a slot by a deadline.
struct SlotRequest
{
    Instant deadline;
    bool viewIsFresh = true; ///< When false, only upstreams of the own zone may be used.
    std::vector<HostId> excludedHosts; ///< Hosts already tried for this request.
};

/// A ServiceRouter chooses the upstream for each request of one service, shares the upstreams'
/// slots, and queues or refuses what finds no slot. Upstreams of the own zone come first; others
/// are used at half their share when the own zone is full. Waiting requests are served in order of
/// their deadlines; a request that can't meet its deadline is refused on arrival. It does no I/O
/// and is not synchronised.
class ServiceRouter
{
public:
    ServiceRouter(const ServiceRule &rule, const RouterSettings &settings);

    /// Sets the upstreams. What is known of those that stay is kept. Returns the grants that
    /// waiting requests get from new upstreams. `starting` are instances that are not ready by
    /// this view; they are tried when a request's view is not fresh and its zone has no other, as
    /// a host that was cut off may have missed that they became ready.
    std::vector<SlotGrant> setEndpoints(const std::vector<Endpoint> &endpoints, Instant now,
                                        const std::vector<Endpoint> &starting = {});
    void setEntryHostCount(int entryHosts);
    void setRule(const ServiceRule &rule);

    Admission admit(const SlotRequest &request, Instant now);
    /// Gives back a slot and reports how the attempt ended. Returns grants for waiting requests.
    std::vector<SlotGrant> releaseSlot(const Endpoint &endpoint, AttemptResult result, Millis took,
                                       Instant now);
    /// Ends the wait of a request that was not granted a slot yet.
    void cancel(WaiterId waiter);

    /// Says whether `endpoint` still is an upstream in this very life.
    bool hasEndpoint(const Endpoint &endpoint) const;
    /// Returns how long an answer takes on average, as far as is known.
    Millis expectedLatency() const;
    const ServiceRule &rule() const { return m_rule; }
    std::size_t waitingCount() const { return m_waiting.size(); }
    int inFlight() const;
    /// Returns how many upstreams are ready by this view.
    std::size_t readyEndpointCount() const;

private:
    struct Upstream
    {
        Endpoint endpoint;
        ConcurrencyWindow window;
        bool isStarting = false; ///< Not ready by this view.
        int inFlight = 0;
        double latencyMs = 0;
        int failuresInRow = 0;
        Instant ejectedUntil;
    };
    struct Waiter
    {
        WaiterId id;
        SlotRequest request;
    };

    Upstream *chooseUpstream(const SlotRequest &request, Instant now);
    Upstream *lessLoaded(Upstream *left, Upstream *right);
    bool hasFreeSlot(const Upstream &upstream, const SlotRequest &request, bool isLocal,
                     Instant now, bool allowEjected) const;
    bool hasEligibleUpstream(const SlotRequest &request) const;
    bool isEligible(const Upstream &upstream, const SlotRequest &request) const;
    Millis expectedWait(const SlotRequest &request) const;
    double expectedLatencyMs() const;
    int totalWindow() const;
    std::vector<SlotGrant> grantWaiters(Instant now);
    void recordFailure(Upstream &upstream, Instant now);

    ServiceRule m_rule;
    RouterSettings m_settings;
    std::map<HostId, Upstream> m_upstreams;
    std::multimap<Instant, Waiter> m_waiting;
    WaiterId m_lastWaiter;
    std::mt19937 m_random;
};

} // namespace oleanderhall
