#include "oleanderhall/maintenance/hostplanner.h"

#include <algorithm>
#include <cmath>

namespace oleanderhall {

namespace {

constexpr double kMilliPerCore = 1000;
constexpr double kWaveReserve = 0.35; // of a wave's time, kept for hosts that are hard to free

} // namespace

HostPlanner::HostPlanner(HostPlannerSettings settings)
    : m_settings(settings)
{}

void HostPlanner::setPools(const std::vector<PoolConfig> &pools)
{
    m_pools.clear();
    m_spare = {};
    for (const PoolConfig &pool : pools) {
        m_pools[pool.service] = pool.isSpare;
        if (pool.isSpare)
            m_spare = pool.service;
    }
}

void HostPlanner::takeHosts(const std::vector<HostInfo> &hosts, Instant now)
{
    std::set<HostId> listed;
    for (const HostInfo &info : hosts) {
        listed.insert(info.id);
        Host &host = m_hosts[info.id];
        // A list that was read while an order was under way may be older than the order.
        if (host.isOrderInFlight || (now < host.awayUntil && info.state == HostInfo::State::Up))
            continue;
        host.info = info;
    }
    std::erase_if(m_hosts, [&](const auto &entry) { return !listed.contains(entry.first); });
    m_areHostsKnown = true;
}

void HostPlanner::addWave(const Wave &wave, Instant seen, const std::set<HostId> &maintained)
{
    WaveState &state = m_waves[wave.number];
    if (state.wave.number == 0)
        state.seen = seen;
    state.wave = wave;
    state.begun.insert(maintained.begin(), maintained.end());
}

std::set<HostId> HostPlanner::maintained(std::int64_t wave) const
{
    const auto found = m_waves.find(wave);
    return found == m_waves.end() ? std::set<HostId>() : found->second.begun;
}

std::optional<std::vector<WorkerId>> HostPlanner::workersIn(ServiceId pool) const
{
    if (!m_areHostsKnown)
        return std::nullopt;
    std::vector<WorkerId> workers;
    for (const auto &[id, host] : m_hosts) {
        if (host.info.pool == pool && !host.info.worker.empty())
            workers.push_back(host.info.worker);
    }
    return workers;
}

bool HostPlanner::isWaiting(Instant now) const
{
    return std::any_of(m_hosts.begin(), m_hosts.end(), [&](const auto &entry) {
        const Host &host = entry.second;
        return host.isOrderInFlight || now < host.awayUntil + m_settings.settleTime
            || host.info.state == HostInfo::State::Moving
            || host.info.state == HostInfo::State::Maintenance;
    });
}

bool HostPlanner::isUp(const Host &host, Instant now) const
{
    const auto paused = m_pausedUntil.find(host.info.id);
    return host.info.state == HostInfo::State::Up && !host.isOrderInFlight && now >= host.freeAt
        && now >= host.awayUntil && (paused == m_pausedUntil.end() || now >= paused->second);
}

void HostPlanner::order(Host &host, HostOrder order, Plan &plan)
{
    host.isOrderInFlight = true;
    host.orderedPool = order.pool;
    plan.orders.push_back(std::move(order));
}

void HostPlanner::orderAnswered(const HostOrder &order, HostOrderResult result, Instant now)
{
    const auto found = m_hosts.find(order.host);
    const auto wave = m_waves.find(order.wave);
    if (!order.isMove() && wave != m_waves.end()) {
        if (result == HostOrderResult::Done) {
            wave->second.begun.insert(order.host);
            wave->second.awayUntil[order.host] = now + m_settings.maintenanceTime;
        } else if (result == HostOrderResult::NotOfWave || result == HostOrderResult::Invalid) {
            wave->second.begun.insert(order.host); // the platform does not want it maintained
        } else if (result != HostOrderResult::Unknown) {
            wave->second.awayUntil.erase(order.host);
        }
    }
    if (found == m_hosts.end())
        return;
    Host &host = found->second;
    host.isOrderInFlight = false;
    if (result == HostOrderResult::Done) {
        const Millis away = order.isMove() ? m_settings.moveTime : m_settings.maintenanceTime;
        host.awayUntil = now + away;
        host.freeAt = now + away + m_settings.settleTime;
        host.info.worker = {};
        if (order.isMove()) {
            host.info.pool = order.pool;
            host.info.state = HostInfo::State::Moving;
        } else {
            host.info.state = HostInfo::State::Maintenance;
        }
        return;
    }
    if (result == HostOrderResult::Invalid && order.isMove())
        host.impossiblePools.insert(order.pool);
    host.freeAt = now + m_settings.orderRetry;
}

HostPlanner::Plan HostPlanner::plan(const PoolDemands &demands, const UseOf &useOf, Instant now)
{
    Plan plan;
    if (!m_areHostsKnown)
        return plan;
    planWaves(useOf, now, plan);
    planMoves(demands, useOf, now, plan);
    return plan;
}

void HostPlanner::planWaves(const UseOf &useOf, Instant now, Plan &plan)
{
    for (auto &[number, state] : m_waves) {
        if (state.isCompleted)
            continue;
        int away = 0;
        std::vector<Host *> left;
        for (const HostId id : state.wave.hosts) {
            const auto found = m_hosts.find(id);
            if (found == m_hosts.end())
                continue; // it is gone for good
            const auto until = state.awayUntil.find(id);
            const bool isOrdered = until != state.awayUntil.end()
                && (now < until->second || found->second.info.state != HostInfo::State::Up);
            // An earlier owner may have ordered it just now.
            const auto paused = m_pausedUntil.find(id);
            const bool mayBeOrdered = paused != m_pausedUntil.end() && now < paused->second;
            if (isOrdered || mayBeOrdered
                || found->second.info.state == HostInfo::State::Maintenance)
                ++away;
            if (!state.begun.contains(id))
                left.push_back(&found->second);
        }
        if (!state.isStateKnown || left.empty()) {
            state.isStateKnown = true;
            state.isCompleted = left.empty();
            plan.waveStates.emplace_back(number, state.isCompleted);
        }
        // Those that run nothing go first, then those with the least work.
        std::vector<std::pair<double, Host *>> ranked;
        for (Host *host : left) {
            const WorkerUse use = useOf(host->info.worker);
            plan.dueSoon.insert(host->info.worker);
            const bool isFree = use.isEmpty || (use.batchCores == 0 && use.mayInterrupt);
            ranked.emplace_back(isFree ? (use.isEmpty ? 0 : 1) : 2 + use.batchCores, host);
        }
        std::stable_sort(ranked.begin(), ranked.end(),
                         [](const auto &a, const auto &b) { return a.first < b.first; });
        const double elapsed = std::chrono::duration<double>(now - state.seen).count();
        const double usable = std::chrono::duration<double>(state.wave.duration).count()
            * (1 - kWaveReserve);
        const auto total = static_cast<double>(state.wave.hosts.size());
        const double due = usable <= 0 ? total : total * std::min(1.0, elapsed / usable);
        const bool isBehind = total - static_cast<double>(left.size()) < due;
        int cordoned = 0;
        for (const auto &[rank, host] : ranked) {
            if (away >= state.wave.maxAtOnce)
                break;
            if (!isUp(*host, now))
                continue;
            const WorkerUse use = useOf(host->info.worker);
            // What runs at a worker that was not read yet is not known; a host that is off has
            // none.
            if (!use.isKnown && !host->info.worker.empty())
                continue;
            if (rank < 2 && use.mayInterrupt) {
                ++away;
                state.awayUntil[host->info.id] = now + m_settings.maintenanceTime;
                order(*host, {.host = host->info.id, .wave = number, .reason = "maintenance wave"},
                      plan);
                // Budgets of running tasks hold for one host at a time.
                if (!use.isEmpty)
                    break;
            } else if (isBehind && away + cordoned < state.wave.maxAtOnce
                       && cordoned < std::max(1, state.wave.maxAtOnce / 4)) {
                plan.cordoned.insert(host->info.worker);
                plan.evacuated.insert(host->info.worker);
                ++cordoned;
            }
        }
    }
}

bool HostPlanner::isMaintaining(ServiceId pool) const
{
    return std::any_of(m_waves.begin(), m_waves.end(), [&](const auto &entry) {
        const WaveState &state = entry.second;
        return std::any_of(state.wave.hosts.begin(), state.wave.hosts.end(), [&](HostId id) {
            const auto host = m_hosts.find(id);
            return !state.begun.contains(id) && host != m_hosts.end()
                && host->second.info.pool == pool;
        });
    });
}

std::map<ServiceId, HostPlanner::PoolState> HostPlanner::poolStates(const PoolDemands &demands,
                                                                    Instant now) const
{
    std::map<ServiceId, PoolState> states;
    std::map<ServiceId, double> cores;
    for (const auto &[id, host] : m_hosts) {
        // A host that is ordered into a pool counts there, also while the answer is on its way.
        const bool isOrdered = host.isOrderInFlight && !host.orderedPool.empty();
        PoolState &state = states[isOrdered ? host.orderedPool : host.info.pool];
        const bool isComing = now < host.awayUntil || isOrdered;
        if (host.info.state == HostInfo::State::Up || isComing
            || host.info.state == HostInfo::State::Moving
            || host.info.state == HostInfo::State::Maintenance)
            ++state.present;
        cores[host.info.pool] += static_cast<double>(host.info.capacity.milliCores) / kMilliPerCore;
    }
    std::map<ServiceId, int> counts;
    for (const auto &[id, host] : m_hosts)
        ++counts[host.info.pool];
    for (auto &[pool, state] : states)
        state.coresPerHost = std::max(1.0, cores[pool] / std::max(1, counts[pool]));
    for (const auto &[pool, demand] : demands) {
        PoolState &state = states[pool];
        const double wanted = (demand.cores + demand.longRunningCores)
            / (state.coresPerHost * m_settings.fillShare);
        // One more than tasks must be spread over, while hosts of the pool are maintained.
        const int reserve = isMaintaining(pool) ? 1 : 0;
        const int least = std::max(m_settings.leastHosts, demand.minHosts + reserve);
        state.wanted = std::max(least, static_cast<int>(std::ceil(wanted)));
    }
    return states;
}

HostPlanner::Host *HostPlanner::takeHost(ServiceId from, ServiceId to, const UseOf &useOf,
                                         Instant now)
{
    for (auto &[id, host] : m_hosts) {
        if (host.info.pool != from || !isUp(host, now) || host.impossiblePools.contains(to))
            continue;
        if (from == m_spare)
            return &host;
        const WorkerUse use = useOf(host.info.worker);
        if (use.isKnown && use.isEmpty)
            return &host;
    }
    return nullptr;
}

void HostPlanner::cordonEmptiest(ServiceId pool, int count, const UseOf &useOf, Instant now,
                                 Plan &plan)
{
    std::vector<std::pair<double, WorkerId>> ranked;
    for (const auto &[id, host] : m_hosts) {
        if (host.info.pool != pool || !isUp(host, now))
            continue;
        const WorkerUse use = useOf(host.info.worker);
        if (use.isKnown && use.batchCores > 0)
            ranked.emplace_back(use.batchCores, host.info.worker);
    }
    std::sort(ranked.begin(), ranked.end());
    for (const auto &[cores, worker] : ranked) {
        if (count-- <= 0)
            return;
        plan.cordoned.insert(worker);
    }
}

void HostPlanner::planMoves(const PoolDemands &demands, const UseOf &useOf, Instant now, Plan &plan)
{
    if (m_spare.empty() && m_pools.size() < 2)
        return;
    std::map<ServiceId, PoolState> states = poolStates(demands, now);
    std::vector<std::pair<double, ServiceId>> shortPools;
    for (const auto &[pool, state] : states) {
        if (pool != m_spare && m_pools.contains(pool) && state.present < state.wanted)
            shortPools.emplace_back(static_cast<double>(state.present) / state.wanted, pool);
    }
    std::sort(shortPools.begin(), shortPools.end());
    for (const auto &[share, pool] : shortPools) {
        PoolState &needy = states[pool];
        std::vector<ServiceId> sources{m_spare};
        for (const auto &[other, state] : states) {
            if (other != m_spare && other != pool && m_pools.contains(other)
                && state.present > state.wanted)
                sources.push_back(other);
        }
        for (const ServiceId source : sources) {
            PoolState &donor = states[source];
            while (needy.present < needy.wanted
                   && (source == m_spare || donor.present > donor.wanted)) {
                Host *host = takeHost(source, pool, useOf, now);
                if (!host)
                    break;
                ++needy.present;
                --donor.present;
                order(*host,
                      {.host = host->info.id,
                       .pool = pool,
                       .reason = "pool wants " + std::to_string(needy.wanted) + " hosts, has "
                           + std::to_string(needy.present - 1)},
                      plan);
            }
            if (source != m_spare && needy.present < needy.wanted)
                cordonEmptiest(source,
                               std::min(donor.present - donor.wanted, needy.wanted - needy.present),
                               useOf, now, plan);
        }
    }
    if (m_spare.empty())
        return;
    for (auto &[pool, state] : states) {
        const bool hasSurplus = pool != m_spare && m_pools.contains(pool)
            && state.present > state.wanted;
        if (!hasSurplus) {
            m_surplusSince.erase(pool);
            continue;
        }
        const Instant since = m_surplusSince.try_emplace(pool, now).first->second;
        if (now - since < m_settings.idleTime)
            continue;
        while (state.present > state.wanted) {
            Host *host = takeHost(pool, m_spare, useOf, now);
            if (!host)
                break;
            --state.present;
            order(*host,
                  {.host = host->info.id, .pool = m_spare, .reason = "idle: pool wants fewer"},
                  plan);
        }
    }
}

} // namespace oleanderhall
