#include <utility>

#include "routetable.h"

#include <boost/asio/this_coro.hpp>

#include <algorithm>

namespace oleanderhall {

namespace {

std::vector<Endpoint> endpointsOf(const FleetState &state, const ServiceRule &rule,
                                  InstanceState instanceState)
{
    std::vector<Endpoint> endpoints;
    for (const HostId host : state.hostsOf(rule.pool)) {
        const HostRecord &record = *state.record(host);
        const HostSpec *spec = state.spec(host);
        const InstanceRecord *instance = record.instanceOf(rule.id);
        if (record.state != HostState::Serving || !spec || !instance
            || instance->state != instanceState)
            continue;
        endpoints.push_back({host, spec->zone, record.epoch, spec->address, rule.port});
    }
    return endpoints;
}

} // namespace

void RouteTable::refresh(const FleetState &state, const std::set<PoolId> &pools)
{
    const Instant now = std::chrono::steady_clock::now();
    if (pools.empty())
        removeObsoleteServices(state.config());
    for (const auto &[id, rule] : state.config().services) {
        if (!pools.empty() && !pools.contains(rule.pool))
            continue;
        const ServicePtr service = findOrAdd(rule);
        const std::lock_guard lock(service->mutex);
        service->router.setRule(rule);
        deliverGrants(
            *service,
            service->router.setEndpoints(endpointsOf(state, rule, InstanceState::Ready), now,
                                         endpointsOf(state, rule, InstanceState::Starting)));
    }
}

void RouteTable::setEntryHostCount(int entryHostCount)
{
    const std::unique_lock lock(m_mutex);
    m_settings.entryHostCount = entryHostCount;
    for (const auto &[name, service] : m_services) {
        const std::lock_guard serviceLock(service->mutex);
        service->router.setEntryHostCount(entryHostCount);
    }
}

std::optional<ServiceRule> RouteTable::ruleOf(std::string_view service) const
{
    const ServicePtr found = find(service);
    if (!found)
        return std::nullopt;
    const std::lock_guard lock(found->mutex);
    return found->router.rule();
}

boost::asio::awaitable<SlotResult> RouteTable::acquire(std::string service, SlotRequest request)
{
    const ServicePtr found = find(service);
    if (!found)
        co_return Refusal{RefusalReason::UnknownService, ExecutionStatus::NotExecuted,
                          std::nullopt};
    const auto executor = co_await boost::asio::this_coro::executor;
    std::shared_ptr<OneShot<Endpoint>> waiter;
    WaiterId id;
    Instant waitDeadline = request.deadline;
    {
        const std::lock_guard lock(found->mutex);
        const Admission admission = found->router.admit(request, std::chrono::steady_clock::now());
        if (const auto *refusal = std::get_if<Refusal>(&admission))
            co_return *refusal;
        if (const auto *grant = std::get_if<SlotGrant>(&admission))
            co_return grant->endpoint;
        id = std::get<Waiting>(admission).id;
        waitDeadline -= found->router.expectedLatency();
        waiter = std::make_shared<OneShot<Endpoint>>(executor);
        found->waiters.emplace(id, waiter);
    }
    const std::optional<Endpoint> granted = co_await waiter->wait(waitDeadline);
    if (granted)
        co_return *granted;
    const std::lock_guard lock(found->mutex);
    found->router.cancel(id);
    found->waiters.erase(id);
    co_return Refusal{RefusalReason::QueueTimeout, ExecutionStatus::NotExecuted, Millis(1000)};
}

Millis RouteTable::expectedLatency(const std::string &service) const
{
    const ServicePtr found = find(service);
    if (!found)
        return Millis(0);
    const std::lock_guard lock(found->mutex);
    return found->router.expectedLatency();
}

void RouteTable::release(const std::string &service, const Endpoint &endpoint, AttemptResult result,
                         Millis duration)
{
    const ServicePtr found = find(service);
    if (!found)
        return;
    const std::lock_guard lock(found->mutex);
    const Instant now = std::chrono::steady_clock::now();
    deliverGrants(*found, found->router.releaseSlot(endpoint, result, duration, now));
}

bool RouteTable::isCurrent(const std::string &service, const Endpoint &endpoint) const
{
    const ServicePtr found = find(service);
    if (!found)
        return false;
    const std::lock_guard lock(found->mutex);
    return found->router.hasEndpoint(endpoint);
}

std::pair<int, int> RouteTable::load() const
{
    const std::shared_lock lock(m_mutex);
    std::pair<int, int> total;
    for (const auto &[name, service] : m_services) {
        const std::lock_guard serviceLock(service->mutex);
        total.first += service->router.inFlight();
        total.second += static_cast<int>(service->router.waitingCount());
    }
    return total;
}

int RouteTable::maxConnectionsPerUpstream() const
{
    const std::shared_lock lock(m_mutex);
    std::optional<int> lowest;
    for (const auto &[name, service] : m_services) {
        const std::lock_guard serviceLock(service->mutex);
        const int connections = service->router.rule().connections;
        lowest = std::min(lowest.value_or(connections), connections);
    }
    return std::max(lowest.value_or(1) / std::max(m_settings.entryHostCount, 1), 1);
}

int RouteTable::upstreamCount() const
{
    const std::shared_lock lock(m_mutex);
    std::size_t total = 0;
    for (const auto &[name, service] : m_services) {
        const std::lock_guard serviceLock(service->mutex);
        total += service->router.readyEndpointCount();
    }
    return static_cast<int>(total);
}

RouteTable::ServicePtr RouteTable::find(std::string_view service) const
{
    const std::shared_lock lock(m_mutex);
    const auto found = m_services.find(service);
    return found == m_services.end() ? nullptr : found->second;
}

RouteTable::ServicePtr RouteTable::findOrAdd(const ServiceRule &rule)
{
    const std::unique_lock lock(m_mutex);
    ServicePtr &service = m_services[rule.id.name()];
    if (!service)
        service = std::make_shared<Service>(rule, m_settings);
    return service;
}

void RouteTable::removeObsoleteServices(const Register &config)
{
    const std::unique_lock lock(m_mutex);
    std::erase_if(m_services, [&config](const auto &item) {
        return !config.services.contains(item.second->router.rule().id);
    });
}

void RouteTable::deliverGrants(Service &service, const std::vector<SlotGrant> &grants)
{
    std::vector<SlotGrant> undelivered = grants;
    while (!undelivered.empty()) {
        const SlotGrant grant = undelivered.back();
        undelivered.pop_back();
        const auto waiter = service.waiters.find(grant.waiter);
        const bool isDelivered = waiter != service.waiters.end()
            && waiter->second->set(grant.endpoint);
        if (waiter != service.waiters.end())
            service.waiters.erase(waiter);
        if (isDelivered)
            continue;
        // The waiter has timed out in the meantime, so its slot is granted to the next one.
        const Instant now = std::chrono::steady_clock::now();
        const auto more = service.router.releaseSlot(grant.endpoint, AttemptResult::NotAttempted,
                                                     Millis(0), now);
        undelivered.insert(undelivered.end(), more.begin(), more.end());
    }
}

} // namespace oleanderhall
