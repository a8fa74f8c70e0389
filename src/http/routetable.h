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

/// Internal: a granted slot or the refusal to give one.
using SlotResult = std::variant<Endpoint, Refusal>;

/// Internal: the services' routers, shared by the worker threads. Lock order: the table's mutex,
/// then one service's mutex, then a OneShot's.
class RouteTable
{
public:
    explicit RouteTable(RouterSettings settings)
        : m_settings(settings)
    {}

    /// Brings the services of `pools` in line with `state`; with no pools, all services.
    void refresh(const FleetState &state, const std::set<PoolId> &pools);
    void setEntryHostCount(int entryHosts);

    std::optional<ServiceRule> ruleOf(std::string_view service) const;
    /// Returns how long an answer of `service` takes on average.
    Millis expectedLatency(const std::string &service) const;
    /// Waits for a slot, at most until the request could no longer meet its deadline.
    boost::asio::awaitable<SlotResult> acquire(std::string service, SlotRequest request);
    void release(const std::string &service, const Endpoint &endpoint, AttemptResult result,
                 Millis took);
    /// Says whether `endpoint` may be sent work now, by the view as it is at this moment.
    bool isCurrent(const std::string &service, const Endpoint &endpoint) const;
    /// Returns how many connections this entry host may have open to one upstream: an even share of
    /// what the strictest service's instances accept.
    int maxConnectionsPerUpstream() const;
    /// Returns the number of upstreams, over all services.
    int upstreamCount() const;
    /// Returns the number of requests in flight and waiting, over all services.
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
    static void deliverGrants(Service &service, const std::vector<SlotGrant> &grants);

    RouterSettings m_settings;
    mutable std::shared_mutex m_mutex;
    std::map<std::string, ServicePtr, std::less<>> m_services;
};

} // namespace oleanderhall
