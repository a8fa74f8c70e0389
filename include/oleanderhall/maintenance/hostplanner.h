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

/// Limits of the HostPlanner. `moveTime` and `maintenanceTime` are set from the platform's bounds.
struct HostPlannerSettings
{
    Millis moveTime{1500}; ///< The longest time that a move takes.
    Millis maintenanceTime{2000}; ///< The longest time that a maintenance takes.
    /// The time after a move or maintenance before the next command.
    Millis minCommandInterval{600};
    Millis surplusTime{800}; ///< How long a pool has surplus hosts before they become spares.
    /// The time before the next command to a host whose last one was rejected or not answered.
    Millis commandRetryDelay{300};
    double usableShare = 0.85; ///< The share of a host's cores that placement can use.
    /// The fewest hosts of a pool that has work, so that some remain when a rack fails.
    int minHostsPerPool = 3;
};

/// The current load of one worker.
struct WorkerUsage
{
    bool isKnown = false; ///< The worker is listed and its state has been read.
    bool isEmpty = true; ///< No task runs on the worker.
    double batchCores = 0; ///< Cores used by tasks that are not long-running.
};

/// Looks up what a plan depends on. A plan calls the functions only for the workers that one of its
/// decisions considers, and at most once for each, as a fleet has many workers.
struct WorkerLookup
{
    std::function<WorkerUsage(WorkerId)> usageOf;
    /// Returns whether the worker's tasks may be ended without violating a budget. Asked only for
    /// workers of open waves that run nothing but long-running tasks, or nothing.
    std::function<bool(WorkerId)> mayInterrupt;
};

/// A HostPlanner decides when hosts are maintained and which pool each host belongs to. It does no
/// I/O. Only the owner sends its commands, with the owner's fencing token.
class HostPlanner
{
public:
    struct Plan
    {
        std::vector<HostCommand> commands;
        std::set<WorkerId> cordoned; ///< Workers that must not get new tasks.
        /// Workers whose host is in an open wave and has not been maintained yet.
        std::set<WorkerId> awaitingMaintenance;
        /// Workers whose long-running tasks should be moved to other workers, as budgets allow.
        std::set<WorkerId> evacuated;
        /// Workers whose other tasks should be stopped, as the wave of their hosts is about to end.
        std::set<WorkerId> preempted;
        /// Waves that are new or have just been completed: the number, and whether it is completed.
        std::vector<std::pair<std::int64_t, bool>> waveStates;
    };

    explicit HostPlanner(HostPlannerSettings settings);

    void setPools(const std::vector<PoolConfig> &pools);
    /// Replaces the known hosts with a complete list from the platform. As the list may predate the
    /// last command to a host, the host's entry is kept while the command is in flight, and during
    /// its move or maintenance if the list still shows the host as up.
    void updateHosts(const std::vector<HostInfo> &hosts, Instant now)
    {
        updateHosts(hosts, now, now);
    }
    /// The same for a list that was requested at `requested`. A host whose last move has an unknown
    /// outcome gets no command until a later list shows its pool.
    void updateHosts(const std::vector<HostInfo> &hosts, Instant now, Instant requested);
    /// Plans no commands to `host` before `until`. A new owner calls it for hosts to which an
    /// earlier owner may just have sent a command.
    void pause(HostId host, Instant until) { m_pausedUntil[host] = until; }
    /// Adds or updates a wave that was first seen at `firstSeen`. `handled` are the hosts that
    /// need no further command according to earlier owners.
    void addWave(const Wave &wave, Instant firstSeen, const std::set<HostId> &handled = {});
    /// Handles the result of a planned command. Every planned command must get one.
    void onCommandResult(const HostCommand &command, HostCommandResult result, Instant now);
    /// Returns the commands to send now and the workers to cordon or evacuate. The plan is empty
    /// until the first list of hosts. `lookup` must not change its answers during the call.
    Plan plan(const PoolDemands &demands, const WorkerLookup &lookup, Instant now);

    /// Returns the hosts of a wave that need no further command: their maintenance has started, or
    /// the platform rejected it for good. Valid until the planner is changed.
    const std::set<HostId> &handledHosts(std::int64_t wave) const;
    /// Returns the workers that the platform lists in `pool`, or nothing before the first list.
    std::optional<std::vector<WorkerId>> workersIn(PoolId pool) const;
    /// Returns whether a command, move or maintenance is in progress, so that the list of hosts
    /// should be read again soon.
    bool hasPendingChanges(Instant now) const;

private:
    struct Host
    {
        HostInfo info;
        std::optional<WorkerUsage> usage; ///< Of its worker, once the current plan looked it up.
        std::optional<bool> mayInterrupt; ///< The same for WorkerLookup::mayInterrupt.
        bool isCommandInFlight = false;
        PoolId targetPool; ///< Target of the last command; empty for maintenance.
        Instant nextCommandAt; ///< The earliest time of the next command.
        Instant unavailableUntil; ///< The expected end of the current move or maintenance.
        /// When the outcome of its last move was found to be unknown, until a later list is read.
        std::optional<Instant> unknownMoveAt;
        std::set<PoolId> rejectedPools; ///< Pools to which a move was rejected as invalid.
    };
    struct WaveState
    {
        Wave wave;
        Instant firstSeen;
        std::set<HostId> handledHosts; ///< Hosts that need no further command.
        std::map<HostId, Instant> unavailableUntil; ///< The expected end of each maintenance.
        bool isCompleted = false;
        bool isReported = false; ///< A plan has contained the wave's state.
    };
    struct PoolState
    {
        int desiredHosts = 0;
        /// Hosts that are up, moving or under maintenance, and hosts commanded to move to the pool.
        int currentHosts = 0;
        double coresPerHost = 1;
    };

    static const WorkerUsage &usageOf(Host &host, const WorkerLookup &lookup);
    static bool mayInterrupt(Host &host, const WorkerLookup &lookup);
    bool acceptsCommands(const Host &host, Instant now) const;
    void planWaves(const WorkerLookup &lookup, Instant now, Plan &plan);
    void planMoves(const PoolDemands &demands, const WorkerLookup &lookup, Instant now, Plan &plan);
    std::map<PoolId, PoolState> poolStates(const PoolDemands &demands, Instant now) const;
    /// Returns whether `pool` has a host that is in a wave and still needs a command for it.
    bool awaitsMaintenance(PoolId pool) const;
    Host *findFreeHost(PoolId from, PoolId to, const WorkerLookup &lookup, Instant now);
    void cordonLeastLoaded(PoolId pool, int count, const WorkerLookup &lookup, Instant now,
                           Plan &plan);
    void addCommand(Host &host, HostCommand command, Plan &plan);

    HostPlannerSettings m_settings;
    std::map<HostId, Instant> m_pausedUntil;
    std::set<PoolId> m_pools; ///< All pools, the spare pool among them.
    PoolId m_sparePool;
    std::map<HostId, Host> m_hosts;
    bool m_hasHostList = false;
    std::map<std::int64_t, WaveState> m_waves;
    std::map<PoolId, Instant> m_surplusSince; ///< When a pool's current surplus began.
};

} // namespace oleanderhall
