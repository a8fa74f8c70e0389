#pragma once

#include "oleanderhall/core/time.h"
#include "oleanderhall/jobs/fleetconfig.h"
#include "oleanderhall/maintenance/hostcommand.h"
#include "oleanderhall/maintenance/hostinfo.h"
#include "oleanderhall/maintenance/wave.h"
#include "oleanderhall/scheduling/pooldemand.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace oleanderhall {

/// Limits of the HostPlanner. Each is the project's own but for those set from the platform's
/// bounds.
struct HostPlannerSettings
{
    Millis moveTime{1500}; ///< A bound of the platform.
    Millis maintenanceTime{2000}; ///< A bound of the platform.
    Millis minStay{600}; ///< A host that has moved stays at least this long.
    Millis surplusTime{800}; ///< How long a pool has too many hosts before one goes to the spares.
    Millis commandRetryDelay{300}; ///< After an order that was turned away or not answered.
    double usableShare = 0.85; ///< Of a host's cores that placement fills in practice.
    int minHosts = 3; ///< Of a pool with work of its own, so that a lost rack leaves some.
};

/// What the HostPlanner needs to know of a host's worker.
struct WorkerUsage
{
    bool isKnown = false; ///< The worker is listed and was read.
    bool isEmpty = true; ///< Nothing runs there.
    bool mayInterrupt = true; ///< What runs there may be ended without breaking a budget.
    double batchCores = 0; ///< Of tasks that end by themselves.
};

/// A HostPlanner decides when hosts are maintained and which pool each belongs to. It does no I/O.
/// All orders come from one owner, under its fencing token.
class HostPlanner
{
public:
    using UsageLookup = std::function<WorkerUsage(WorkerId)>;

    struct Plan
    {
        std::vector<HostCommand> commands;
        std::set<WorkerId> cordoned; ///< Workers that get no new tasks.
        std::set<WorkerId> awaitingMaintenance; ///< Workers whose host will be maintained.
        /// Workers whose long-running tasks should go elsewhere, as budgets allow.
        std::set<WorkerId> evacuated;
        std::vector<std::pair<std::int64_t, bool>>
            waveStates; ///< Wave and whether it is completed.
    };

    explicit HostPlanner(HostPlannerSettings settings);

    void setPools(const std::vector<PoolConfig> &pools);
    void updateHosts(const std::vector<HostInfo> &hosts, Instant now);
    /// Gives no orders to a host before `until`, as an earlier owner may have just done so.
    void pause(HostId host, Instant until) { m_pausedUntil[host] = until; }
    /// Takes a wave that was first seen at `seen`; `maintained` are the hosts that are known to
    /// have been maintained.
    void addWave(const Wave &wave, Instant seen, const std::set<HostId> &maintained = {});
    void commandAnswered(const HostCommand &order, HostCommandResult result, Instant now);
    Plan plan(const PoolDemands &demands, const UsageLookup &useOf, Instant now);

    /// Returns the hosts of a wave that have begun their maintenance.
    std::set<HostId> maintained(std::int64_t wave) const;
    /// Returns the workers that the platform lists in `pool`; nothing before the first list.
    std::optional<std::vector<WorkerId>> workersIn(ServiceId pool) const;
    /// Returns whether a move or maintenance is under way, so that the list is worth reading soon.
    bool hasPendingChanges(Instant now) const;

private:
    struct Host
    {
        HostInfo info;
        bool isCommandInFlight = false;
        ServiceId targetPool; ///< Of the order in flight; empty for maintenance.
        Instant nextCommandAt; ///< No new order before.
        Instant unavailableUntil; ///< A move or maintenance has begun and takes until then.
        std::set<ServiceId> rejectedPools;
    };
    struct WaveState
    {
        Wave wave;
        Instant firstSeen;
        std::set<HostId> started;
        std::map<HostId, Instant> unavailableUntil;
        bool isCompleted = false;
        bool isStateKnown = false;
    };
    struct PoolState
    {
        int desiredHosts = 0;
        int currentHosts = 0; ///< Up, or on their way into the pool.
        double coresPerHost = 1;
    };

    bool acceptsCommands(const Host &host, Instant now) const;
    void planWaves(const UsageLookup &useOf, Instant now, Plan &plan);
    void planMoves(const PoolDemands &demands, const UsageLookup &useOf, Instant now, Plan &plan);
    std::map<ServiceId, PoolState> poolStates(const PoolDemands &demands, Instant now) const;
    bool isMaintaining(ServiceId pool) const;
    Host *findFreeHost(ServiceId from, ServiceId to, const UsageLookup &useOf, Instant now);
    void cordonLeastLoaded(ServiceId pool, int count, const UsageLookup &useOf, Instant now,
                           Plan &plan);
    void addCommand(Host &host, HostCommand order, Plan &plan);

    HostPlannerSettings m_settings;
    std::map<HostId, Instant> m_pausedUntil;
    std::map<ServiceId, bool> m_pools; ///< Whether it is the spare pool.
    ServiceId m_sparePool;
    std::map<HostId, Host> m_hosts;
    bool m_hasHostList = false;
    std::map<std::int64_t, WaveState> m_waves;
    std::map<ServiceId, Instant> m_surplusSince;
};

} // namespace oleanderhall
