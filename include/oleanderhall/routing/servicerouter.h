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

/// Identifies a request that waits for a slot.
using WaiterId = StrongNumber<struct WaiterTag>;

/// Settings of a ServiceRouter that depend on its entry host and the fleet.
struct RouterSettings
{
    ZoneId zone; ///< Availability zone of the entry host.
    int entryHostCount = 1; ///< Entry hosts that share the upstreams' slots.
    std::size_t maxWaiting = 64; ///< Requests that may wait for a slot.
    std::uint32_t seed = 1; ///< For the random choice of upstreams.
};

/// A slot at an upstream. The holder must release it with ServiceRouter::releaseSlot().
struct SlotGrant
{
    Endpoint endpoint;
    WaiterId waiter; ///< The request that waited for the slot, or zero if it was granted at once.
};

/// The request waits for a slot until releaseSlot() or setEndpoints() returns its grant, or until
/// cancel() removes it from the queue.
struct Waiting
{
    WaiterId id;
};

/// The result of ServiceRouter::admit().
using Admission = std::variant<SlotGrant, Waiting, Refusal>;

/// Asks for a slot at any upstream that may serve the request.
struct SlotRequest
{
    Instant deadline; ///< When the caller must have its response.
    bool viewIsFresh = true; ///< If false, only upstreams in the entry host's zone may be used.
    std::vector<HostId> excludedHosts; ///< Hosts at which this request was already attempted.
};

/// A ServiceRouter load-balances the requests of one service over its upstreams. It grants each
/// request a slot at an upstream, and queues or refuses requests for which no slot is free.
/// Upstreams in the entry host's zone are preferred; those in other zones are used only while no
/// upstream in its own zone has a free slot, and only up to half of their concurrency window.
/// Waiting requests are served in order of their deadlines; a request that is not expected to meet
/// its deadline is refused on arrival. The class does no I/O and is not synchronised.
class ServiceRouter
{
public:
    ServiceRouter(const ServiceRule &rule, const RouterSettings &settings);

    /// Sets the upstreams. The state of those that remain is retained. Returns the grants of the
    /// waiting requests that now get a slot. `starting` are instances that are not ready according
    /// to this view. They are used only when the view is not fresh and the zone of the entry host
    /// has no ready instance that the request may use, because an entry host that was partitioned
    /// from the fleet may have missed that they became ready.
    std::vector<SlotGrant> setEndpoints(const std::vector<Endpoint> &endpoints, Instant now,
                                        const std::vector<Endpoint> &starting = {});
    /// Sets the number of entry hosts that share the upstreams' slots.
    void setEntryHostCount(int entryHostCount);
    /// Replaces the rule. If the number of slots changed, the concurrency windows start anew.
    void setRule(const ServiceRule &rule);

    /// Grants a slot, queues the request, or refuses it as not executed.
    Admission admit(const SlotRequest &request, Instant now);
    /// Releases a slot and records the result of the attempt, which took `duration`; both are
    /// skipped if `endpoint` is no longer an upstream. Returns the grants of the waiting requests
    /// that now get a slot.
    std::vector<SlotGrant> releaseSlot(const Endpoint &endpoint, AttemptResult result,
                                       Millis duration, Instant now);
    /// Removes a waiting request from the queue.
    void cancel(WaiterId waiter);

    /// Returns whether `endpoint` is still an upstream, with the same epoch and address.
    bool hasEndpoint(const Endpoint &endpoint) const;
    /// Returns the estimated latency of a response, as the mean over all upstreams, rounded up.
    Millis expectedLatency() const;
    const ServiceRule &rule() const { return m_rule; }
    std::size_t waitingCount() const { return m_waiting.size(); }
    int inFlight() const;
    /// Returns the number of upstreams that are ready according to the view.
    std::size_t readyEndpointCount() const;

private:
    struct Upstream
    {
        Endpoint endpoint;
        ConcurrencyWindow window;
        bool isStarting = false; ///< Not ready according to the view.
        int inFlight = 0;
        double latencyMs = 0; ///< Moving average that includes penalties for failures.
        int failuresInRow = 0;
        Instant ejectedUntil; ///< Until then, used only if no other upstream has a free slot.
    };
    struct Waiter
    {
        WaiterId id;
        SlotRequest request;
    };

    /// Returns the less loaded of two random upstreams with a free slot, or nullptr.
    Upstream *chooseUpstream(const SlotRequest &request, Instant now);
    Upstream *lessLoaded(Upstream *left, Upstream *right);
    bool hasFreeSlot(const Upstream &upstream, const SlotRequest &request, bool isLocal,
                     Instant now, bool allowEjected) const;
    bool hasEligibleUpstream(const SlotRequest &request) const;
    /// Returns whether `request` may be sent to `upstream`, whether or not a slot is free.
    bool isEligible(const Upstream &upstream, const SlotRequest &request) const;
    /// Returns how long a new request is expected to wait for a slot.
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
