// Planning for the pools that this entry host owns.
#include "controller.h"

#include "log.h"
#include "metrics.h"

#include "oleanderhall/membership/rendezvous.h"

#include <algorithm>

namespace oleanderhall {

namespace {

constexpr Millis kMaxDecisionAge{1000};

} // namespace

void Controller::decide(Instant now)
{
    std::vector<PoolId> owned;
    std::set<PoolId> pools;
    for (const auto &[pool, rule] : m_state.config().pools)
        pools.insert(pool);
    for (const auto &[host, record] : m_state.hosts())
        pools.insert(record.pool);
    const std::vector<EntryId> owners = m_members.ownerCandidates(now);
    for (const PoolId pool : pools) {
        if (ownerOf(pool, owners) == m_settings.id)
            owned.push_back(pool);
    }
    watchHosts(owned);
    std::erase_if(m_planners, [&owned](const auto &item) {
        return std::find(owned.begin(), owned.end(), item.first) == owned.end();
    });
    Observations observations{.hosts = m_watcher.observations(now),
                              .entryHosts = m_members.observations(now),
                              .entryHostsObservedAt = m_members.seenAt()};
    {
        const std::unique_lock lock(m_stateMutex);
        m_waitReasons.clear();
    }
    for (const PoolId pool : owned) {
        PoolPlanner &planner = m_planners.try_emplace(pool, pool, PlannerSettings{}).first->second;
        if (!decideFor(planner, observations, now))
            return;
    }
}

bool Controller::decideFor(PoolPlanner &planner, const Observations &observations, Instant now)
{
    PoolPlan plan = planner.decide(m_state, observations, now);
    for (const WorkerCommand &command : plan.commands)
        m_watcher.send(command, WorkerClient::commandBody(command, m_state.config()));
    {
        const std::unique_lock lock(m_stateMutex);
        m_waitReasons.insert(plan.waitReasons.begin(), plan.waitReasons.end());
    }
    if (plan.changes.empty())
        return true;
    // The observations may be out of date if this process was paused after they were read.
    if (timeNow() - now > kMaxDecisionAge) {
        m_metrics.count("old_decisions_dropped_total");
        return false;
    }
    const std::string reason = plan.reason;
    const AppendOutcome outcome = append(
        {.reason = std::move(plan.reason), .changes = std::move(plan.changes)});
    if (outcome == AppendOutcome::Committed) {
        m_metrics.count("decisions_committed_total");
        logInfo("decision_committed",
                {{"sequence", std::to_string(m_state.sequence().value)},
                 {"pool", planner.pool().name()},
                 {"reason", reason}});
        return true;
    }
    m_metrics.count(outcome == AppendOutcome::Conflict ? "decision_conflicts_total"
                                                       : "decisions_unknown_total");
    return false;
}

void Controller::watchHosts(const std::vector<PoolId> &pools)
{
    std::map<HostId, bool> hosts;
    bool isDraining = false;
    for (const PoolId pool : pools) {
        for (const HostId host : m_state.hostsOf(pool)) {
            const HostRecord &record = *m_state.record(host);
            const bool isSteady = record.state == HostState::Serving
                && std::all_of(record.instances.begin(), record.instances.end(),
                               [](const InstanceRecord &instance) {
                                   return instance.state == InstanceState::Ready;
                               });
            isDraining = isDraining || record.state == HostState::Draining;
            if (!isSteady && record.state != HostState::Failed)
                m_lastActivity = timeNow();
            hosts.emplace(host, !isSteady);
        }
    }
    if (isDraining && !m_awaitsAcknowledgements)
        m_nextMemberRead = {};
    m_awaitsAcknowledgements = isDraining;
    if (isDraining)
        m_lastActivity = timeNow();
    m_watcher.watch(hosts);
}

} // namespace oleanderhall
