#include "oleanderhall/maintenance/hostplanner.h"

#include <algorithm>
#include <cmath>

namespace oleanderhall {

namespace {

constexpr double kMilliPerCore = 1000;
/// The share of a wave's duration that is reserved for hosts whose tasks are hard to move or end.
constexpr double kWaveTimeReserve = 0.35;
/// After this share of a wave's duration, tasks that still run on its last hosts are stopped and
/// start elsewhere. The operators ask for the maintenance in time, and some tasks run for longer
/// than a wave lasts.
constexpr double kPreemptionShare = 0.75;

} // namespace

HostPlanner::HostPlanner(HostPlannerSettings settings)
    : m_settings(settings)
{}

void HostPlanner::setPools(const std::vector<PoolConfig> &pools)
{
    m_pools.clear();
    m_sparePool = {};
    for (const PoolConfig &pool : pools) {
        m_pools.insert(pool.id);
        if (pool.isSpare)
            m_sparePool = pool.id;
    }
}

void HostPlanner::updateHosts(const std::vector<HostInfo> &hosts, Instant now, Instant requested)
{
    std::set<HostId> listed;
    for (const HostInfo &info : hosts) {
        listed.insert(info.id);
        Host &host = m_hosts[info.id];
        // A list that was read during a command, move or maintenance may predate the command.
        if (host.isCommandInFlight
            || (now < host.unavailableUntil && info.state == HostInfo::State::Ready))
            continue;
        if (host.unknownMoveAt && requested > *host.unknownMoveAt)
            host.unknownMoveAt.reset();
        host.info = info;
    }
    std::erase_if(m_hosts, [&](const auto &entry) { return !listed.contains(entry.first); });
    m_hasHostList = true;
}

void HostPlanner::addWave(const Wave &wave, Instant firstSeen, const std::set<HostId> &handled)
{
    WaveState &state = m_waves[wave.number];
    if (state.wave.number == 0)
        state.firstSeen = firstSeen;
    state.wave = wave;
    // Comparing two sorted ranges is much cheaper than inserting hosts that are known.
    if (!std::includes(state.handledHosts.begin(), state.handledHosts.end(), handled.begin(),
                       handled.end()))
        state.handledHosts.insert(handled.begin(), handled.end());
}

const std::set<HostId> &HostPlanner::handledHosts(std::int64_t wave) const
{
    static const std::set<HostId> none;
    const auto found = m_waves.find(wave);
    return found == m_waves.end() ? none : found->second.handledHosts;
}

std::optional<std::vector<WorkerId>> HostPlanner::workersIn(PoolId pool) const
{
    if (!m_hasHostList)
        return std::nullopt;
    std::vector<WorkerId> workers;
    for (const auto &[id, host] : m_hosts) {
        if (host.info.pool == pool && !host.info.worker.empty())
            workers.push_back(host.info.worker);
    }
    return workers;
}

bool HostPlanner::hasPendingChanges(Instant now) const
{
    return std::any_of(m_hosts.begin(), m_hosts.end(), [&](const auto &entry) {
        const Host &host = entry.second;
        return host.isCommandInFlight || now < host.unavailableUntil + m_settings.minCommandInterval
            || host.info.state == HostInfo::State::Moving
            || host.info.state == HostInfo::State::Maintenance;
    });
}

bool HostPlanner::acceptsCommands(const Host &host, Instant now) const
{
    const auto paused = m_pausedUntil.find(host.info.id);
    return host.info.state == HostInfo::State::Ready && !host.isCommandInFlight
        && !host.unknownMoveAt && now >= host.nextCommandAt && now >= host.unavailableUntil
        && (paused == m_pausedUntil.end() || now >= paused->second);
}

void HostPlanner::addCommand(Host &host, HostCommand command, Plan &plan)
{
    host.isCommandInFlight = true;
    host.targetPool = command.targetPool;
    plan.commands.push_back(std::move(command));
}

void HostPlanner::onCommandResult(const HostCommand &command, HostCommandResult result, Instant now)
{
    const auto found = m_hosts.find(command.host);
    const auto wave = m_waves.find(command.wave);
    if (!command.isMove() && wave != m_waves.end()) {
        if (result == HostCommandResult::Done) {
            wave->second.handledHosts.insert(command.host);
            wave->second.unavailableUntil[command.host] = now + m_settings.maintenanceTime;
        } else if (result == HostCommandResult::NotOfWave || result == HostCommandResult::Invalid) {
            wave->second.handledHosts.insert(command.host); // the platform rejected it for good
        } else if (result != HostCommandResult::Unknown) {
            wave->second.unavailableUntil.erase(command.host);
        }
    }
    if (found == m_hosts.end())
        return;
    Host &host = found->second;
    host.isCommandInFlight = false;
    if (result == HostCommandResult::Done) {
        const Millis unavailableTime = command.isMove() ? m_settings.moveTime
                                                        : m_settings.maintenanceTime;
        host.unavailableUntil = now + unavailableTime;
        host.nextCommandAt = now + unavailableTime + m_settings.minCommandInterval;
        host.info.worker = {};
        if (command.isMove()) {
            host.info.pool = command.targetPool;
            host.info.state = HostInfo::State::Moving;
        } else {
            host.info.state = HostInfo::State::Maintenance;
        }
        return;
    }
    if (result == HostCommandResult::Unknown && command.isMove())
        host.unknownMoveAt = now;
    if (result == HostCommandResult::Invalid && command.isMove())
        host.rejectedPools.insert(command.targetPool);
    host.nextCommandAt = now + m_settings.commandRetryDelay;
}

const WorkerUsage &HostPlanner::usageOf(Host &host, const WorkerLookup &lookup)
{
    if (!host.usage)
        host.usage = lookup.usageOf(host.info.worker);
    return *host.usage;
}

bool HostPlanner::mayInterrupt(Host &host, const WorkerLookup &lookup)
{
    if (!host.mayInterrupt)
        host.mayInterrupt = lookup.mayInterrupt(host.info.worker);
    return *host.mayInterrupt;
}

HostPlanner::Plan HostPlanner::plan(const PoolDemands &demands, const WorkerLookup &lookup,
                                    Instant now)
{
    Plan plan;
    if (!m_hasHostList)
        return plan;
    for (auto &[id, host] : m_hosts) {
        host.usage.reset();
        host.mayInterrupt.reset();
    }
    planWaves(lookup, now, plan);
    planMoves(demands, lookup, now, plan);
    return plan;
}

void HostPlanner::planWaves(const WorkerLookup &lookup, Instant now, Plan &plan)
{
    // mayInterrupt considers each host alone, so a plan interrupts the tasks of at most one host,
    // whichever wave it belongs to, and then evacuates none.
    bool isInterrupting = false;
    for (auto &[number, state] : m_waves) {
        if (state.isCompleted)
            continue;
        int unavailable = 0;
        std::vector<Host *> remaining;
        for (const HostId id : state.wave.hosts) {
            const auto found = m_hosts.find(id);
            if (found == m_hosts.end())
                continue; // no longer in the fleet
            const auto until = state.unavailableUntil.find(id);
            // A host that moves to another pool after its maintenance doesn't count.
            const bool isCommanded = until != state.unavailableUntil.end()
                && (now < until->second || found->second.info.state == HostInfo::State::Down);
            // An earlier owner may just have sent a command to this host.
            const auto paused = m_pausedUntil.find(id);
            const bool mayHaveEarlierCommand = paused != m_pausedUntil.end()
                && now < paused->second;
            if (isCommanded || mayHaveEarlierCommand
                || found->second.info.state == HostInfo::State::Maintenance)
                ++unavailable;
            if (!state.handledHosts.contains(id))
                remaining.push_back(&found->second);
        }
        if (!state.isReported || remaining.empty()) {
            state.isReported = true;
            state.isCompleted = remaining.empty();
            plan.waveStates.emplace_back(number, state.isCompleted);
        }
        for (const Host *host : remaining)
            plan.awaitingMaintenance.insert(host->info.worker);
        if (unavailable >= state.wave.maxAtOnce)
            continue;
        // Idle hosts come first, then those that run only long-running tasks that may be
        // interrupted, then the others, the least loaded first.
        std::vector<std::pair<double, Host *>> ranked;
        for (Host *host : remaining) {
            if (!acceptsCommands(*host, now))
                continue;
            const WorkerUsage &usage = usageOf(*host, lookup);
            // A worker whose state has not been read may run tasks, so its host must wait. Spare
            // hosts are off and have no worker; elsewhere the list may lack a new worker.
            const bool isOff = host->info.worker.empty() && host->info.pool == m_sparePool;
            if (!usage.isKnown && !isOff)
                continue;
            const bool isFree = usage.isEmpty
                || (usage.batchCores == 0 && mayInterrupt(*host, lookup));
            ranked.emplace_back(isFree ? (usage.isEmpty ? 0 : 1) : 2 + usage.batchCores, host);
        }
        std::stable_sort(ranked.begin(), ranked.end(),
                         [](const auto &a, const auto &b) { return a.first < b.first; });
        const double elapsed = std::chrono::duration<double>(now - state.firstSeen).count();
        const double duration = std::chrono::duration<double>(state.wave.duration).count();
        const double usable = duration * (1 - kWaveTimeReserve);
        const auto total = static_cast<double>(state.wave.hosts.size());
        const double due = usable <= 0 ? total : total * std::min(1.0, elapsed / usable);
        const bool isBehind = total - static_cast<double>(remaining.size()) < due;
        int cordoned = 0;
        for (const auto &[rank, host] : ranked) {
            if (unavailable >= state.wave.maxAtOnce)
                break;
            if (host->isCommandInFlight)
                continue; // the wave names the host twice
            const bool isEmpty = usageOf(*host, lookup).isEmpty;
            if (rank < 2 && mayInterrupt(*host, lookup)) {
                if (!isEmpty && isInterrupting)
                    break; // idle hosts come first, so none is left
                isInterrupting = isInterrupting || !isEmpty;
                ++unavailable;
                state.unavailableUntil[host->info.id] = now + m_settings.maintenanceTime;
                addCommand(*host,
                           {.host = host->info.id, .wave = number, .reason = "maintenance wave"},
                           plan);
            } else if (isBehind && unavailable + cordoned < state.wave.maxAtOnce
                       && cordoned < std::max(1, state.wave.maxAtOnce / 4)) {
                plan.cordoned.insert(host->info.worker);
                plan.evacuated.insert(host->info.worker);
                if (elapsed >= duration * kPreemptionShare)
                    plan.preempted.insert(host->info.worker);
                ++cordoned;
            }
        }
    }
    if (isInterrupting)
        plan.evacuated.clear();
}

bool HostPlanner::awaitsMaintenance(PoolId pool) const
{
    return std::any_of(m_waves.begin(), m_waves.end(), [&](const auto &entry) {
        const WaveState &state = entry.second;
        return std::any_of(state.wave.hosts.begin(), state.wave.hosts.end(), [&](HostId id) {
            const auto host = m_hosts.find(id);
            return !state.handledHosts.contains(id) && host != m_hosts.end()
                && host->second.info.pool == pool;
        });
    });
}

std::map<PoolId, HostPlanner::PoolState> HostPlanner::poolStates(const PoolDemands &demands,
                                                                 Instant now) const
{
    std::map<PoolId, PoolState> states;
    std::map<PoolId, double> cores;
    for (const auto &[id, host] : m_hosts) {
        // A host counts towards its target pool as soon as the move is commanded.
        const bool isMoveCommanded = host.isCommandInFlight && !host.targetPool.empty();
        PoolState &state = states[isMoveCommanded ? host.targetPool : host.info.pool];
        const bool isJoining = now < host.unavailableUntil || isMoveCommanded;
        if (host.info.state == HostInfo::State::Ready || isJoining
            || host.info.state == HostInfo::State::Moving
            || host.info.state == HostInfo::State::Maintenance)
            ++state.currentHosts;
        cores[host.info.pool] += static_cast<double>(host.info.capacity.milliCores) / kMilliPerCore;
    }
    std::map<PoolId, int> counts;
    for (const auto &[id, host] : m_hosts)
        ++counts[host.info.pool];
    for (auto &[pool, state] : states)
        state.coresPerHost = std::max(1.0, cores[pool] / std::max(1, counts[pool]));
    for (const auto &[pool, demand] : demands) {
        PoolState &state = states[pool];
        const double desired = (demand.cores + demand.longRunningCores)
            / (state.coresPerHost * m_settings.usableShare);
        // While hosts await maintenance, the pool needs one host more than the number that its
        // tasks must be spread over.
        const int reserve = awaitsMaintenance(pool) ? 1 : 0;
        const int fewest = std::max(m_settings.minHostsPerPool, demand.minHosts + reserve);
        state.desiredHosts = std::max(fewest, static_cast<int>(std::ceil(desired)));
    }
    return states;
}

HostPlanner::Host *HostPlanner::findFreeHost(PoolId from, PoolId to, const WorkerLookup &lookup,
                                             Instant now)
{
    for (auto &[id, host] : m_hosts) {
        if (host.info.pool != from || !acceptsCommands(host, now)
            || host.rejectedPools.contains(to))
            continue;
        if (from == m_sparePool)
            return &host;
        const WorkerUsage &usage = usageOf(host, lookup);
        if (usage.isKnown && usage.isEmpty)
            return &host;
    }
    return nullptr;
}

void HostPlanner::cordonLeastLoaded(PoolId pool, int count, const WorkerLookup &lookup, Instant now,
                                    Plan &plan)
{
    std::vector<std::pair<double, WorkerId>> ranked;
    for (auto &[id, host] : m_hosts) {
        if (host.info.pool != pool || !acceptsCommands(host, now))
            continue;
        const WorkerUsage &usage = usageOf(host, lookup);
        if (usage.isKnown && usage.batchCores > 0)
            ranked.emplace_back(usage.batchCores, host.info.worker);
    }
    std::sort(ranked.begin(), ranked.end());
    for (const auto &[cores, worker] : ranked) {
        if (count-- <= 0)
            return;
        plan.cordoned.insert(worker);
    }
}

void HostPlanner::planMoves(const PoolDemands &demands, const WorkerLookup &lookup, Instant now,
                            Plan &plan)
{
    if (m_sparePool.empty() && m_pools.size() < 2)
        return;
    std::map<PoolId, PoolState> states = poolStates(demands, now);
    std::vector<std::pair<double, PoolId>> poolsShortOfHosts;
    for (const auto &[pool, state] : states) {
        if (pool != m_sparePool && m_pools.contains(pool)
            && state.currentHosts < state.desiredHosts)
            poolsShortOfHosts.emplace_back(
                static_cast<double>(state.currentHosts) / state.desiredHosts, pool);
    }
    std::sort(poolsShortOfHosts.begin(), poolsShortOfHosts.end());
    for (const auto &[share, pool] : poolsShortOfHosts) {
        PoolState &recipient = states[pool];
        std::vector<PoolId> sources{m_sparePool};
        for (const auto &[other, state] : states) {
            if (other != m_sparePool && other != pool && m_pools.contains(other)
                && state.currentHosts > state.desiredHosts)
                sources.push_back(other);
        }
        for (const PoolId source : sources) {
            PoolState &donor = states[source];
            while (recipient.currentHosts < recipient.desiredHosts
                   && (source == m_sparePool || donor.currentHosts > donor.desiredHosts)) {
                Host *host = findFreeHost(source, pool, lookup, now);
                if (!host)
                    break;
                ++recipient.currentHosts;
                --donor.currentHosts;
                addCommand(*host,
                           {.host = host->info.id,
                            .targetPool = pool,
                            .reason = "pool wants " + std::to_string(recipient.desiredHosts)
                                + " hosts, has " + std::to_string(recipient.currentHosts - 1)},
                           plan);
            }
            if (source != m_sparePool && recipient.currentHosts < recipient.desiredHosts)
                cordonLeastLoaded(source,
                                  std::min(donor.currentHosts - donor.desiredHosts,
                                           recipient.desiredHosts - recipient.currentHosts),
                                  lookup, now, plan);
        }
    }
    if (m_sparePool.empty())
        return;
    for (auto &[pool, state] : states) {
        const bool hasSurplus = pool != m_sparePool && m_pools.contains(pool)
            && state.currentHosts > state.desiredHosts;
        if (!hasSurplus) {
            m_surplusSince.erase(pool);
            continue;
        }
        const Instant since = m_surplusSince.try_emplace(pool, now).first->second;
        if (now - since < m_settings.surplusTime)
            continue;
        while (state.currentHosts > state.desiredHosts) {
            Host *host = findFreeHost(pool, m_sparePool, lookup, now);
            if (!host)
                break;
            --state.currentHosts;
            addCommand(*host,
                       {.host = host->info.id,
                        .targetPool = m_sparePool,
                        .reason = "idle: pool wants fewer"},
                       plan);
        }
    }
}

} // namespace oleanderhall
