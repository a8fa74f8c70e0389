#pragma once

#include "hostwatcher.h"
#include "settings.h"
#include "wakeup.h"

#include "oleanderhall/fleet/fleetstate.h"
#include "oleanderhall/fleet/poolplanner.h"
#include "oleanderhall/membership/membertable.h"
#include "oleanderhall/membership/viewlease.h"
#include "oleanderhall/platform/dynamotable.h"
#include "oleanderhall/platform/httpobjectstore.h"
#include "oleanderhall/rollout/changelog.h"

#include <atomic>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <shared_mutex>
#include <string>
#include <thread>

namespace oleanderhall {

class Metrics;
class RouteTable;

/// Internal: the control side of an entry host. One thread keeps the view up to date, sends the
/// heartbeat, and decides for the pools that this entry host owns; operators' changes run between
/// its steps. Lock order: step, state, then whatever the route table takes.
class Controller
{
public:
    Controller(const Settings &settings, DynamoTable &table, RouteTable &routes, ViewLease &lease,
               Metrics &metrics);
    ~Controller();
    Controller(const Controller &) = delete;
    Controller &operator=(const Controller &) = delete;

    void start();
    /// Tells the others that this entry host is stopping; it owns no pool from then on.
    void leave();
    /// Ends the thread and removes the heartbeat row.
    void stop();

    /// Says whether a view was ever loaded.
    bool hasView() const { return m_hasView; }

    /// Calls `visit` with the state while it can't change.
    void withState(const std::function<void(const FleetState &)> &visit) const;
    /// Appends the texts of entries after `sequence`; false when they are no longer held.
    bool entriesAfter(Sequence sequence, std::size_t limit, std::vector<std::string> &out) const;
    Millis viewAge() const;

    /// What `change` may look at and return: the entry's changes and reason, or none for no change.
    using Proposer = std::function<std::optional<LogEntry>(const FleetState &)>;
    /// Commits what `propose` returns on the newest state, proposing anew after a conflict. Returns
    /// the committed entry's sequence, or nothing when there was nothing to change. Throws what
    /// `propose` throws, PlatformUnavailable, or OutcomeUnknown.
    std::optional<Sequence> commit(const Proposer &propose);

    std::vector<MemberRow> members() const;
    /// Returns why hosts wait, as the last plans of the owned pools said.
    std::map<HostId, std::string> waitReasons() const;
    /// Returns the entries held in memory that concern `host`, as JSON texts, oldest first.
    std::vector<std::string> recentEntriesFor(const std::string &name) const;

private:
    void run();
    void step();
    bool refreshFromTable();
    void catchUp(Sequence target);
    void refreshFromPeer();
    void replaceState(FleetState state);
    bool applyEntry(const LogEntry &entry);
    void heartbeat(Instant now);
    void readMembers(Instant now);
    void readHostList(Instant now);
    void removeDeadMembers(Instant now);
    void decide(Instant now);
    bool decideFor(PoolPlanner &planner, const Observations &observations, Instant now);
    void watchHosts(const std::vector<PoolId> &pools);
    AppendOutcome append(LogEntry entry);
    std::string newOperationId();
    static Instant timeNow() { return std::chrono::steady_clock::now(); }
    std::vector<std::string> peerAddresses() const;

    static constexpr const char *kMemberPartition = "entry"; ///< Of the heartbeat rows.

    const Settings &m_settings;
    DynamoTable &m_table;
    HttpObjectStore m_store;
    ChangeLog<DynamoTable, HttpObjectStore> m_changeLog;
    RouteTable &m_routes;
    ViewLease &m_lease;
    Metrics &m_metrics;

    std::mutex m_stepMutex;
    mutable std::shared_mutex m_stateMutex;
    FleetState m_state;
    std::deque<std::pair<Sequence, std::string>> m_recentEntries;
    MemberTable m_members;
    std::map<HostId, std::string> m_waitReasons;
    LogHead m_head;

    HostWatcher m_watcher;
    std::map<PoolId, PoolPlanner> m_planners;
    MemberRow m_memberRow;
    HostList m_hostList;
    bool m_hasHostList = false;
    Sequence m_latestDrainSequence; ///< The newest entry that drains a host.
    bool m_awaitsAcknowledgements = false; ///< A host of an owned pool drains.
    std::atomic<Instant> m_lastActivity{Instant{}}; ///< Also written by operators' changes.
    Wakeup m_wakeup;
    Instant m_nextHeartbeat;
    Instant m_nextMemberRead;
    Instant m_nextHostListRead;
    std::mt19937 m_random;
    std::uint64_t m_lastOperationNumber = 0;
    std::atomic<bool> m_hasView{false};
    std::atomic<bool> m_isLeaving{false};
    std::atomic<bool> m_isStopping{false};
    std::thread m_thread;
};

} // namespace oleanderhall
