#pragma once

#include "registers.h"

#include "oleanderhall/fleet/poolplanner.h"

#include <map>
#include <string>
#include <vector>

namespace oleanderhall::test {

/// A fake environment for PoolPlanner: the change log, workers, entry hosts and time. Several
/// deciders act on it, each with its own state and observations, which become outdated unless the
/// test calls sync() and observe(). Checks each committed entry and collects the violations of the
/// fleet's guarantees.
class FleetWorld
{
public:
    /// If `checksHead` is false, entries are committed even if the head of the log has moved since
    /// they were decided.
    explicit FleetWorld(bool checksHead)
        : m_checksHead(checksHead)
    {
        for (const auto &[id, host] : m_config.hosts)
            workers[id] = {};
        for (int index = 0; index < 3; ++index)
            entryHosts.push_back({EntryId("e" + std::to_string(index)),
                                  ZoneId("z" + std::to_string(index)),
                                  {},
                                  false});
        LogEntry first{.actor = EntryId("op"), .operation = "first", .reason = "first"};
        first.changes.push_back(ConfigChange{{1}, difference(Register{}, m_config)});
        commit(first);
        for (int index = 0; index < 2; ++index)
            deciders.emplace_back();
    }

    /// The actual state of the worker on a host.
    struct WorkerState
    {
        bool isUp = true;
        bool isLeaving = false; ///< The platform's host list says that the host is withdrawn.
        Epoch epoch;
        Epoch bootEpoch;
        std::vector<ServiceId> running;
    };
    /// An entry host that plans for both pools: its copy of the state, its observations and the
    /// plans that it has not yet executed.
    struct Decider
    {
        FleetState state;
        Observations observations;
        PoolPlanner plannerA{PoolId("a")};
        PoolPlanner plannerB{PoolId("b")};
        std::vector<std::pair<Sequence, PoolPlan>> plans;
    };

    std::map<HostId, WorkerState> workers;
    std::vector<EntryHostObservation> entryHosts;
    std::vector<Decider> deciders;
    std::vector<LogEntry> log;
    std::vector<std::string> violations;
    FleetState committed; ///< The state after all entries of the log.
    Instant now{std::chrono::hours(1)};

    /// Applies the log to the decider's state.
    void sync(Decider &decider)
    {
        for (const LogEntry &entry : log)
            decider.state.apply(entry);
    }

    /// Observes all workers and entry hosts as they are now.
    void observe(Decider &decider)
    {
        decider.observations.hosts.clear();
        for (const auto &[id, worker] : workers) {
            HostObservation observation{.health = worker.isUp ? Health::Healthy : Health::Unhealthy,
                                        .leaving = worker.isLeaving,
                                        .observedAt = decider.state.sequence()};
            observation.workerEpoch = worker.epoch;
            observation.bootEpoch = worker.bootEpoch;
            observation.running = worker.running;
            observation.activeInstances = static_cast<int>(worker.running.size());
            decider.observations.hosts.emplace(id, observation);
        }
        decider.observations.entryHosts = entryHosts;
        decider.observations.entryHostsObservedAt = decider.state.sequence();
    }

    /// Decides for both pools on the decider's state and observations.
    void plan(Decider &decider)
    {
        decider.plans.clear();
        for (PoolPlanner *planner : {&decider.plannerA, &decider.plannerB})
            decider.plans.emplace_back(decider.state.sequence(),
                                       planner->decide(decider.state, decider.observations, now));
    }

    /// Executes the commands of the decider's plans and commits their changes.
    void execute(Decider &decider)
    {
        for (const auto &[sequence, plan] : decider.plans) {
            for (const WorkerCommand &command : plan.commands)
                executeCommand(command);
            if (plan.changes.empty())
                continue;
            LogEntry entry{.sequence = sequence.next(),
                           .actor = EntryId("decider"),
                           .operation = "o",
                           .reason = plan.reason,
                           .changes = plan.changes};
            if (entry.sequence == committed.sequence().next())
                commit(entry);
            else if (!m_checksHead)
                commit(entry);
        }
        decider.plans.clear();
    }

    /// Lets the decider read the log, observe, plan and execute its plans at once.
    void decide(Decider &decider)
    {
        sync(decider);
        observe(decider);
        plan(decider);
        execute(decider);
    }

    /// Commits an operator's change on the current state.
    void commitOperatorChange(const Change &change)
    {
        LogEntry entry{.actor = EntryId("op"), .operation = "op", .reason = "operator"};
        entry.changes.push_back(change);
        commit(entry);
    }

    /// Commits a register that assigns `host` to `pool`.
    void assignToPool(HostId host, PoolId pool)
    {
        HostSpec spec = committed.config().hosts.at(host);
        spec.pool = pool;
        RegisterPatch patch;
        patch.hosts.push_back(spec);
        commitOperatorChange(ConfigChange{committed.configVersion().next(), patch});
    }

    /// Runs `rounds` decisions, 250 ms apart, with all workers up and all entry hosts up to date.
    void runHealthyRounds(int rounds)
    {
        for (int round = 0; round < rounds; ++round) {
            for (auto &[id, worker] : workers)
                worker.isUp = true;
            for (EntryHostObservation &entry : entryHosts) {
                entry.acknowledged = committed.sequence();
                entry.leaseExpired = false;
            }
            decide(deciders[0]);
            now += Millis(250);
        }
    }

    /// Returns the number of Serving hosts in `pool`.
    int serving(PoolId pool) const
    {
        int count = 0;
        for (const HostId host : committed.hostsOf(pool))
            count += committed.record(host)->state == HostState::Serving ? 1 : 0;
        return count;
    }

private:
    void executeCommand(const WorkerCommand &command)
    {
        WorkerState &worker = workers[command.host];
        if (!worker.isUp || command.epoch < worker.epoch)
            return;
        worker.epoch = command.epoch;
        worker.running = command.services;
        if (command.kind == WorkerCommand::Kind::Reboot)
            worker.bootEpoch = command.epoch;
    }

    void commit(LogEntry entry)
    {
        entry.sequence = committed.sequence().next();
        const FleetState before = committed;
        committed.apply(entry);
        log.push_back(entry);
        for (const Change &change : entry.changes) {
            if (const auto *host = std::get_if<HostChange>(&change)) {
                if (const HostRecord *known = before.record(host->record.id))
                    check(*known, host->record);
            }
        }
    }

    /// Records a violation if the change from `before` to `after` breaks a guarantee.
    void check(const HostRecord &before, const HostRecord &after)
    {
        if (before.pool != after.pool && before.state != HostState::Stopped)
            violations.push_back(after.id.name() + " changed its pool without being stopped");
        if (before.state == HostState::Draining && after.state == HostState::Stopped)
            checkViews(before);
        const bool isPlanned = before.state == HostState::Serving
            && after.state == HostState::Draining && after.disruption != Disruption::Leave;
        if (isPlanned)
            checkBudget(after);
    }

    /// Records a violation if an entry host of the zone may still route to a host that has stopped.
    void checkViews(const HostRecord &drained)
    {
        const ZoneId zone = m_config.hosts.at(drained.id).zone;
        for (const EntryHostObservation &entry : entryHosts) {
            if (entry.acknowledged < drained.changedAt && entry.zone == zone)
                violations.push_back(drained.id.name() + " stopped while an old view may use it");
        }
    }

    /// Records a violation if the planned disruption of `host` exceeds the budget of its pool.
    void checkBudget(const HostRecord &host)
    {
        const PoolRule &rule = committed.config().pools.at(host.pool);
        const int total = static_cast<int>(committed.hostsOf(host.pool).size());
        const int available = serving(host.pool);
        if (available < rule.minAvailable || total - available > rule.maxUnavailable)
            violations.push_back("draining " + host.id.name() + " leaves "
                                 + std::to_string(available) + " of " + std::to_string(total));
    }

    bool m_checksHead;
    Register m_config = smallRegister();
};

} // namespace oleanderhall::test
