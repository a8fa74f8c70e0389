#pragma once

#include "oleanderhall/fleet/disruptionbudget.h"
#include "oleanderhall/fleet/poolplan.h"
#include "oleanderhall/fleet/poolplanner.h"
#include "oleanderhall/placement/instanceplacer.h"

#include <map>
#include <string>

namespace oleanderhall {

/// Internal: a single run of PoolPlanner::decide(). Collects the changes in `m_plan`; each host
/// changes at most once per step. The public methods are called in the order of declaration.
class PoolStep
{
public:
    PoolStep(const FleetState &state, const Observations &observations, PoolId pool,
             const PlannerSettings &settings, std::map<HostId, int> &startFailures);

    /// Takes the next step of the host's lifecycle. `sinceChange` is the time since the planner
    /// first read this version of the record.
    void advanceHost(const HostRecord &record, Millis sinceChange);
    /// Adds records for the hosts that the register newly assigns to the pool.
    void admitNewHosts();
    /// Adds and removes instances so that the pool's services have as many as their rules say.
    void placeInstances();
    /// Starts to drain hosts that leave, move, are removed or are due in a wave.
    void admitDisruptions();
    /// Ends the running wave when all hosts are done or too many have failed.
    void advanceWave();
    PoolPlan takePlan() { return std::move(m_plan); }

private:
    void progressJoining(const HostRecord &record, Millis sinceChange);
    void progressServing(const HostRecord &record, Millis sinceChange);
    void progressDraining(const HostRecord &record, Millis sinceChange);
    void progressStopped(const HostRecord &record);
    void progressRebooting(const HostRecord &record, Millis sinceChange);
    void progressFailed(const HostRecord &record, Millis sinceChange);

    void placeService(const ServiceRule &rule);
    void addInstanceToEmptyZone(const ServiceRule &rule,
                                const std::vector<PlacementCandidate> &candidates,
                                const std::map<ZoneId, int> &perZone);
    void removeSurplusInstances(const ServiceRule &rule,
                                const std::vector<PlacementCandidate> &candidates,
                                std::map<ZoneId, int> perZone, int placed);
    void addInstance(HostId host, const ServiceRule &rule);
    void removeObsoleteInstances(const HostRecord &record);
    /// Drains the hosts that the platform withdraws. They leave in any case, so the budget limits
    /// these drains only if more than half of the pool seems to leave at once.
    void drainLeavingHosts();
    void admitWaveHosts(const WaveRecord &wave);
    bool tryDisrupt(const HostRecord &record, Disruption disruption, const std::string &why);
    bool hasHostsToJoin() const;
    /// Returns true if every service has its required number of ready instances, or one on every
    /// serving host if there are fewer hosts.
    bool areServicesReady() const;
    /// Returns true once no entry host can send work to the host by a view older than `record`.
    bool isChangePropagated(const HostRecord &record, Millis sinceChange) const;
    /// Returns true if an entry host in the zone of `host` has an expired view lease. If the zone
    /// of `host` is unknown, the entry hosts of all zones count. An entry host with an expired
    /// lease still routes to the hosts of its zone by an old view, so none of them may be
    /// disrupted.
    bool isZoneFrozen(HostId host) const;
    bool isLost(const HostRecord &record) const;
    bool canAddChange() const;
    bool isChanged(HostId host) const { return m_changed.contains(host); }
    PoolId registeredPool(HostId host) const;
    Epoch newEpoch() const { return {m_state.sequence().next().value}; }

    void changeHost(HostRecord record, const std::string &why);
    void markFailed(const HostRecord &record, const std::string &why);
    void rejoin(const HostRecord &record, PoolId pool, const std::string &why);
    void addCommand(const HostRecord &record, WorkerCommand::Kind kind,
                    std::vector<ServiceId> services);
    void addReason(const std::string &why);

    const FleetState &m_state;
    const Observations &m_observations;
    PoolId m_pool;
    const PlannerSettings &m_settings;
    std::map<HostId, int> &m_startFailures;
    DisruptionBudget m_budget;
    bool m_ignoresUnhealthy = false; ///< Too many hosts unhealthy at once: none is marked failed.
    /// Too many hosts leaving at once: the budget limits drains.
    bool m_limitsLeavingByBudget = false;
    PoolPlan m_plan;
    std::map<HostId, HostRecord> m_changed; ///< The hosts that this step has changed.
};

} // namespace oleanderhall
