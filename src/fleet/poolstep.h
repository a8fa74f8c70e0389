#pragma once

#include "oleanderhall/fleet/disruptionbudget.h"
#include "oleanderhall/fleet/poolplan.h"
#include "oleanderhall/fleet/poolplanner.h"
#include "oleanderhall/placement/instanceplacer.h"

#include <map>
#include <string>

namespace oleanderhall {

/// Internal: one run of PoolPlanner::decide. It collects changes in `m_plan`; each host changes at
/// most once in a step.
class PoolStep
{
public:
    PoolStep(const FleetState &state, const Observations &observations, PoolId pool,
             const PlannerSettings &settings, std::map<HostId, int> &startFailures);

    void progress(const HostRecord &record, Millis sinceChange);
    void admitNewHosts();
    void placeInstances();
    void admitDisruptions();
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
    void admitWaveHosts(const WaveRecord &wave);
    bool tryDisrupt(const HostRecord &record, Disruption disruption, const std::string &why);
    bool hasHostsToJoin() const;
    bool areServicesReady() const;
    bool isChangePropagated(const HostRecord &record, Millis sinceChange) const;
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
    bool m_ignoresUnhealthy = false; ///< So many hosts seem lost that none is given up on.
    bool m_budgetsLeaving = false; ///< So many hosts are called leaving that the budget decides.
    PoolPlan m_plan;
    std::map<HostId, HostRecord> m_changed;
};

} // namespace oleanderhall
