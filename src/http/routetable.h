#pragma once

#include <utility>

#include "oneshot.h"

#include "oleanderhall/fleet/fleetstate.h"
#include "oleanderhall/routing/servicerouter.h"

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <shared_mutex>
#include <string>
#include <string_view>
#include <vector>

namespace oleanderhall {

/// Internal: the upstream of a granted slot, or a refusal.
using SlotResult = std::variant<Endpoint, Refusal>;

/// Internal: the routers of all services. Thread-safe. Lock order: the table's mutex, then one
/// service's mutex, then a OneShot's.
class RouteTable
{
public:
    explicit RouteTable(RouterSettings settings)
        : m_settings(settings)
    {}

    /// Updates rules and endpoints of the services of `pools` from `state`. If `pools` is empty,
    /// updates all services and removes those that the configuration no longer has.
    void refresh(const FleetState &state, const std::set<PoolId> &pools);
    /// Sets how many entry hosts share the upstreams' slots and connections.
    void setEntryHostCount(int entryHostCount);

    /// Returns nothing if the service is unknown.
    std::optional<ServiceRule> ruleOf(std::string_view service) const;
    /// Returns the average latency of the responses of `service`, 0 if the service is unknown.
    Millis expectedLatency(const std::string &service) const;
    /// Waits for a slot until the expected latency no longer fits before the request's deadline,
    /// then completes with QueueTimeout. A granted slot must be given back with release().
    boost::asio::awaitable<SlotResult> acquire(std::string service, SlotRequest request);
    /// Gives back the slot of an attempt that ended with `result` after `duration`, and grants it
    /// to the next waiter.
    void release(const std::string &service, const Endpoint &endpoint, AttemptResult result,
                 Millis duration);
    /// Returns whether requests may be sent to `endpoint` according to the current view.
    bool isCurrent(const std::string &service, const Endpoint &endpoint) const;
    /// Returns how many connections to one upstream this entry host may use: the lowest connection
    /// limit of any service, divided by the number of entry hosts, but at least 1.
    int maxConnectionsPerUpstream() const;
    /// Returns the number of ready upstreams over all services.
    int upstreamCount() const;
    /// Returns the numbers of requests in flight and of waiting requests over all services.
    std::pair<int, int> load() const;

private:
    struct Service
    {
        Service(const ServiceRule &rule, const RouterSettings &settings)
            : router(rule, settings)
        {}

        std::mutex mutex;
        ServiceRouter router;
        std::map<WaiterId, std::shared_ptr<OneShot<Endpoint>>> waiters;
    };
    using ServicePtr = std::shared_ptr<Service>;

    ServicePtr find(std::string_view service) const;
    ServicePtr findOrAdd(const ServiceRule &rule);
    void removeObsoleteServices(const Register &config);
    /// Passes granted slots to their waiters. Call with the service's mutex locked.
    static void deliverGrants(Service &service, const std::vector<SlotGrant> &grants);

    RouterSettings m_settings;
    mutable std::shared_mutex m_mutex;
    std::map<std::string, ServicePtr, std::less<>> m_services;
};

} // namespace oleanderhall
