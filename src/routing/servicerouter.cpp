#include "oleanderhall/routing/servicerouter.h"

#include <algorithm>
#include <cmath>

namespace oleanderhall {

namespace {

constexpr double kLatencyWeight = 0.1; // of a new sample in the moving average
constexpr double kInitialLatencyMs = 10; // before the first response
// Recorded as the latency of a failed attempt, so that an upstream that fails fast doesn't appear
// to be the least loaded. Also caps the latency of each upstream in expectedLatencyMs().
constexpr double kFailurePenaltyMs = 1000;
constexpr int kFailuresUntilEjection = 3;
constexpr int kMaxEjectionDoublings = 5;
constexpr Millis kInitialEjectionTime{500};
constexpr Millis kMinRetryAfter{1000};

bool contains(const std::vector<HostId> &hosts, HostId host)
{
    return std::find(hosts.begin(), hosts.end(), host) != hosts.end();
}

} // namespace

ServiceRouter::ServiceRouter(const ServiceRule &rule, const RouterSettings &settings)
    : m_rule(rule)
    , m_settings(settings)
    , m_random(settings.seed)
{}

std::vector<SlotGrant> ServiceRouter::setEndpoints(const std::vector<Endpoint> &endpoints,
                                                   Instant now,
                                                   const std::vector<Endpoint> &starting)
{
    std::map<HostId, Upstream> next;
    const auto add = [&](const Endpoint &endpoint, bool isStarting) {
        const auto known = m_upstreams.find(endpoint.host);
        if (known != m_upstreams.end() && known->second.endpoint == endpoint) {
            next.emplace(endpoint.host, known->second).first->second.isStarting = isStarting;
            return;
        }
        Upstream fresh{.endpoint = endpoint,
                       .window = ConcurrencyWindow(m_rule.slots, m_settings.entryHostCount),
                       .isStarting = isStarting};
        fresh.latencyMs = m_upstreams.empty() ? kInitialLatencyMs : expectedLatencyMs();
        next.emplace(endpoint.host, fresh);
    };
    for (const Endpoint &endpoint : endpoints)
        add(endpoint, false);
    for (const Endpoint &endpoint : starting)
        add(endpoint, true);
    m_upstreams = std::move(next);
    return grantWaiters(now);
}

void ServiceRouter::setEntryHostCount(int entryHostCount)
{
    m_settings.entryHostCount = entryHostCount;
    for (auto &[host, upstream] : m_upstreams)
        upstream.window.setEntryHostCount(entryHostCount);
}

void ServiceRouter::setRule(const ServiceRule &rule)
{
    const bool slotsChanged = rule.slots != m_rule.slots;
    m_rule = rule;
    if (!slotsChanged)
        return;
    for (auto &[host, upstream] : m_upstreams)
        upstream.window = ConcurrencyWindow(rule.slots, m_settings.entryHostCount);
}

Admission ServiceRouter::admit(const SlotRequest &request, Instant now)
{
    if (!hasEligibleUpstream(request))
        return Refusal{RefusalReason::NoUpstream, ExecutionStatus::NotExecuted, kMinRetryAfter};
    if (m_waiting.empty()) {
        if (Upstream *upstream = chooseUpstream(request, now)) {
            ++upstream->inFlight;
            return SlotGrant{upstream->endpoint, {}};
        }
    }
    const Millis wait = expectedWait(request);
    const Millis retryAfter = std::max(wait, kMinRetryAfter);
    if (m_waiting.size() >= m_settings.maxWaiting)
        return Refusal{RefusalReason::Overloaded, ExecutionStatus::NotExecuted, retryAfter};
    if (now + wait + expectedLatency() > request.deadline)
        return Refusal{RefusalReason::TimeoutTooShort, ExecutionStatus::NotExecuted, retryAfter};
    m_lastWaiter = m_lastWaiter.next();
    m_waiting.emplace(request.deadline, Waiter{m_lastWaiter, request});
    return Waiting{m_lastWaiter};
}

std::vector<SlotGrant> ServiceRouter::releaseSlot(const Endpoint &endpoint, AttemptResult result,
                                                  Millis duration, Instant now)
{
    const auto found = m_upstreams.find(endpoint.host);
    if (found == m_upstreams.end() || !(found->second.endpoint == endpoint))
        return grantWaiters(now);
    Upstream &upstream = found->second;
    if (result == AttemptResult::Responded) {
        upstream.window.onResponse(upstream.inFlight, now);
        upstream.latencyMs += kLatencyWeight
            * (static_cast<double>(duration.count()) - upstream.latencyMs);
        upstream.failuresInRow = 0;
        upstream.ejectedUntil = {};
    } else if (result == AttemptResult::Refused) {
        upstream.window.onRefusal(now);
    } else if (result != AttemptResult::NotAttempted) {
        recordFailure(upstream, now);
    }
    --upstream.inFlight;
    return grantWaiters(now);
}

void ServiceRouter::cancel(WaiterId waiter)
{
    std::erase_if(m_waiting, [waiter](const auto &item) { return item.second.id == waiter; });
}

bool ServiceRouter::hasEndpoint(const Endpoint &endpoint) const
{
    const auto found = m_upstreams.find(endpoint.host);
    return found != m_upstreams.end() && found->second.endpoint == endpoint;
}

Millis ServiceRouter::expectedLatency() const
{
    return Millis(static_cast<Millis::rep>(std::ceil(expectedLatencyMs())));
}

std::size_t ServiceRouter::readyEndpointCount() const
{
    return static_cast<std::size_t>(
        std::count_if(m_upstreams.begin(), m_upstreams.end(),
                      [](const auto &item) { return !item.second.isStarting; }));
}

int ServiceRouter::inFlight() const
{
    int total = 0;
    for (const auto &[host, upstream] : m_upstreams)
        total += upstream.inFlight;
    return total;
}

ServiceRouter::Upstream *ServiceRouter::chooseUpstream(const SlotRequest &request, Instant now)
{
    for (const bool allowEjected : {false, true}) {
        for (const bool isLocal : {true, false}) {
            std::vector<Upstream *> usable;
            for (auto &[host, upstream] : m_upstreams) {
                if (hasFreeSlot(upstream, request, isLocal, now, allowEjected))
                    usable.push_back(&upstream);
            }
            if (usable.empty())
                continue;
            std::uniform_int_distribution<std::size_t> pick(0, usable.size() - 1);
            Upstream *first = usable[pick(m_random)];
            return lessLoaded(first, usable[pick(m_random)]);
        }
    }
    return nullptr;
}

ServiceRouter::Upstream *ServiceRouter::lessLoaded(Upstream *left, Upstream *right)
{
    const auto load = [](const Upstream *upstream) {
        return (upstream->inFlight + 1) * (upstream->latencyMs + 1) / upstream->window.size();
    };
    return load(left) <= load(right) ? left : right;
}

bool ServiceRouter::hasFreeSlot(const Upstream &upstream, const SlotRequest &request, bool isLocal,
                                Instant now, bool allowEjected) const
{
    if ((upstream.endpoint.zone == m_settings.zone) != isLocal || !isEligible(upstream, request))
        return false;
    if (upstream.ejectedUntil > now && !allowEjected)
        return false;
    // An ejected upstream gets one request at a time, as a probe.
    const int limit = upstream.ejectedUntil > now ? 1 : upstream.window.size();
    const int share = isLocal ? limit : std::max(limit / 2, 1);
    return upstream.inFlight < share;
}

bool ServiceRouter::hasEligibleUpstream(const SlotRequest &request) const
{
    return std::any_of(m_upstreams.begin(), m_upstreams.end(),
                       [&](const auto &item) { return isEligible(item.second, request); });
}

bool ServiceRouter::isEligible(const Upstream &upstream, const SlotRequest &request) const
{
    const auto isInReach = [&](const Upstream &other) {
        return (request.viewIsFresh || other.endpoint.zone == m_settings.zone)
            && !contains(request.excludedHosts, other.endpoint.host);
    };
    if (!isInReach(upstream))
        return false;
    if (!upstream.isStarting)
        return true;
    // An entry host with a fresh view learns in time that an instance has become ready.
    return !request.viewIsFresh
        && std::none_of(m_upstreams.begin(), m_upstreams.end(), [&](const auto &item) {
               return !item.second.isStarting && isInReach(item.second);
           });
}

Millis ServiceRouter::expectedWait(const SlotRequest &request) const
{
    const auto ahead = std::distance(m_waiting.begin(), m_waiting.upper_bound(request.deadline));
    const double rounds = static_cast<double>(ahead + 1) / std::max(totalWindow(), 1);
    return Millis(static_cast<Millis::rep>(std::ceil(rounds * expectedLatencyMs())));
}

double ServiceRouter::expectedLatencyMs() const
{
    if (m_upstreams.empty())
        return kInitialLatencyMs;
    double total = 0;
    for (const auto &[host, upstream] : m_upstreams)
        total += std::min(upstream.latencyMs, kFailurePenaltyMs);
    return total / static_cast<double>(m_upstreams.size());
}

int ServiceRouter::totalWindow() const
{
    int total = 0;
    for (const auto &[host, upstream] : m_upstreams)
        total += upstream.isStarting ? 0 : upstream.window.size();
    return total;
}

std::vector<SlotGrant> ServiceRouter::grantWaiters(Instant now)
{
    std::vector<SlotGrant> grants;
    for (auto waiter = m_waiting.begin(); waiter != m_waiting.end();) {
        Upstream *upstream = chooseUpstream(waiter->second.request, now);
        if (!upstream)
            break;
        ++upstream->inFlight;
        grants.push_back({upstream->endpoint, waiter->second.id});
        waiter = m_waiting.erase(waiter);
    }
    return grants;
}

void ServiceRouter::recordFailure(Upstream &upstream, Instant now)
{
    upstream.latencyMs += kLatencyWeight * (kFailurePenaltyMs - upstream.latencyMs);
    ++upstream.failuresInRow;
    if (upstream.failuresInRow < kFailuresUntilEjection)
        return;
    const int doublings = std::min(upstream.failuresInRow - kFailuresUntilEjection,
                                   kMaxEjectionDoublings);
    upstream.ejectedUntil = now + kInitialEjectionTime * (1 << doublings);
}

} // namespace oleanderhall
