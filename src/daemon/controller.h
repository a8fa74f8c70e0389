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

/// Internal: the control loop of an entry host. One thread keeps the view (the local copy of the
/// fleet's state) up to date, sends the heartbeat, and plans for the pools that this entry host
/// owns. Operators' changes are committed between two steps of the loop. Lock order: m_stepMutex,
/// m_stateMutex, then the mutexes of the route table.
class Controller
{
public:
    Controller(const Settings &settings, DynamoTable &table, RouteTable &routes, ViewLease &lease,
               Metrics &metrics);
    ~Controller();
    Controller(const Controller &) = delete;
    Controller &operator=(const Controller &) = delete;

    /// Starts the control thread.
    void start();
    /// Stops planning for pools. The heartbeats that follow mark this entry host as leaving, so
    /// that other entry hosts take over its pools.
    void leave();
    /// Stops the control thread and deletes the heartbeat row.
    void stop();

    /// Returns whether a view has been loaded since the start.
    bool hasView() const { return m_hasView; }

    /// Calls `visit` with the current state, which is locked against changes during the call.
    void withState(const std::function<void(const FleetState &)> &visit) const;
    /// Appends to `out` the JSON texts of the entries that follow `sequence` until it holds `limit`
    /// texts. Returns false if some of these entries are no longer in memory.
    bool entriesAfter(Sequence sequence, std::size_t limit, std::vector<std::string> &out) const;
    /// Returns an upper bound of the age of the view: the time since the read that last renewed its
    /// lease was sent.
    Millis viewAge() const;

    /// Returns an entry for the given state, of which only the changes and the reason are set, or
    /// nothing if no change is needed.
    using Proposer = std::function<std::optional<LogEntry>(const FleetState &)>;
    /// Commits the entry that `propose` returns for the latest state, and calls `propose` again
    /// after a conflict. Returns the sequence of the committed entry, or nothing if there was no
    /// change. Throws PlatformUnavailable if the table can't be read or conflicts persist, so that
    /// nothing was changed; OutcomeUnknown if the entry may have been committed; and what `propose`
    /// throws.
    std::optional<Sequence> commit(const Proposer &propose);

    /// Returns the entry hosts that send heartbeats, including those that are leaving.
    std::vector<MemberRow> members() const;
    /// Returns why disruptions of hosts are deferred, according to the latest plans of the pools
    /// that this entry host owns.
    std::map<HostId, std::string> waitReasons() const;
    /// Returns the entries in memory that contain `name` as a JSON string, as JSON texts, oldest
    /// first.
    std::vector<std::string> recentEntriesFor(const std::string &name) const;

private:
    void run();
    void step();
    /// Reads the change log up to its head and renews the view lease. Returns whether the state is
    /// that of the head.
    bool refreshFromTable();
    void catchUp(Sequence target);
    /// Updates the view from a random peer while the table can't be read.
    void refreshFromPeer();
    void replaceState(FleetState state);
    /// Returns false if `entry` doesn't follow the current state.
    bool applyEntry(const LogEntry &entry);
    void heartbeat(Instant now);
    void readMembers(Instant now);
    void readHostList(Instant now);
    void removeDeadMembers(Instant now);
    void decide(Instant now);
    /// Returns false if the entry was not committed; the remaining pools then wait for the next
    /// step.
    bool decideFor(PoolPlanner &planner, const Observations &observations, Instant now);
    void watchHosts(const std::vector<PoolId> &pools);
    AppendOutcome append(LogEntry entry);
    std::string newOperationId();
    static Instant timeNow() { return std::chrono::steady_clock::now(); }
    std::vector<std::string> peerAddresses() const;

    static constexpr const char *kMemberPartition = "entry"; ///< Partition of the heartbeat rows.

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
    Sequence m_latestDrainSequence; ///< Sequence of the latest entry that starts to drain a host.
    bool m_awaitsAcknowledgements = false; ///< A host of an owned pool is draining.
    /// When a drain last started or a host of an owned pool was last in transition. Also set by the
    /// threads that commit operators' changes.
    std::atomic<Instant> m_lastActivity{Instant{}};
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
