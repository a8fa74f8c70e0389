#include "controller.h"

#include "log.h"
#include "metrics.h"

#include "../http/routetable.h"
#include "../peer/peerclient.h"

#include "oleanderhall/core/errors.h"
#include "oleanderhall/membership/rendezvous.h"

#include <algorithm>

namespace oleanderhall {

namespace {

constexpr std::size_t kMaxRecentEntries = 1024;
constexpr std::size_t kEntriesPerRead = 200;
constexpr int kMaxCommitTries = 20;
constexpr int kMaxHeadReads = 3;
constexpr int kWatcherThreads = 2;
constexpr Millis kShortestHeartbeat{2000};
constexpr Millis kHeartbeatPerMember{20}; // keeps the table's writes below 50 a second
constexpr Millis kShortestMemberRead{2000};
constexpr Millis kMemberReadPerMember{150}; // keeps the bytes of a read below 2 KB a second
constexpr Millis kAwaitingMemberReadPerMember{30};
constexpr Millis kHostListPeriod{5000};
constexpr Millis kMemberLapse{8000};
constexpr Millis kMemberLapsePerMember{210}; // three heartbeats and a read
constexpr Millis kMemberSilence{15000};
constexpr Millis kIdleTick{1000}; // still four reads of the head within the time to adopt
constexpr Millis kBusyAfterChange{3000};
constexpr Millis kOldestDecision{1000};
constexpr const char *kMemberPartition = "entry";

Instant timeNow()
{
    return std::chrono::steady_clock::now();
}

std::set<PoolId> poolsTouched(const FleetState &before, const LogEntry &entry)
{
    std::set<PoolId> pools;
    for (const Change &change : entry.changes) {
        HostId host;
        if (const auto *hostChange = std::get_if<HostChange>(&change)) {
            host = hostChange->record.id;
            pools.insert(hostChange->record.pool);
        } else if (const auto *removal = std::get_if<HostRemoval>(&change)) {
            host = removal->host;
        }
        if (const HostRecord *known = before.record(host))
            pools.insert(known->pool);
    }
    return pools;
}

bool acceptsConfig(const LogEntry &entry)
{
    return std::any_of(entry.changes.begin(), entry.changes.end(), [](const Change &change) {
        return std::holds_alternative<ConfigChange>(change);
    });
}

bool startsDrain(const LogEntry &entry)
{
    return std::any_of(entry.changes.begin(), entry.changes.end(), [](const Change &change) {
        const auto *host = std::get_if<HostChange>(&change);
        return host && host->record.state == HostState::Draining;
    });
}

} // namespace

Controller::Controller(const Settings &settings, DynamoTable &table, RouteTable &routes,
                       ViewLease &lease, Metrics &metrics)
    : m_settings(settings)
    , m_table(table)
    , m_store(settings.objectsUrl, settings.platformTimeout)
    , m_log(m_table, m_store)
    , m_routes(routes)
    , m_lease(lease)
    , m_metrics(metrics)
    , m_members(kMemberLapse, kMemberLapsePerMember)
    , m_watcher(
          WorkerClient(settings.workersUrl, settings.platformTimeout),
          [this] {
              const std::shared_lock lock(m_stateMutex);
              return m_state.sequence();
          },
          kWatcherThreads)
    , m_random(std::random_device{}())
{
    m_row = {.id = settings.id,
             .zone = settings.zone,
             .peerAddress = settings.advertised.text(),
             .incarnation = std::to_string(m_random()) + "-" + std::to_string(m_random())};
}

Controller::~Controller()
{
    stop();
}

void Controller::start()
{
    m_thread = std::thread([this] { run(); });
}

void Controller::leave()
{
    m_isLeaving = true;
}

void Controller::stop()
{
    m_isStopping = true;
    m_sleep.wake();
    if (!m_thread.joinable())
        return;
    m_thread.join();
    try {
        m_table.transact(
            {{.kind = TableWrite::Kind::Delete, .key = {kMemberPartition, m_settings.id.name()}}},
            newOperation());
    } catch (const std::exception &error) {
        logWarning("heartbeat_row_not_removed", {{"error", error.what()}});
    }
}

void Controller::withState(const std::function<void(const FleetState &)> &visit) const
{
    const std::shared_lock lock(m_stateMutex);
    visit(m_state);
}

bool Controller::entriesAfter(Sequence sequence, std::size_t limit,
                              std::vector<std::string> &out) const
{
    const std::shared_lock lock(m_stateMutex);
    if (sequence >= m_state.sequence())
        return true;
    if (m_recent.empty() || m_recent.front().first > sequence.next())
        return false;
    for (const auto &[entrySequence, text] : m_recent) {
        if (entrySequence > sequence && out.size() < limit)
            out.push_back(text);
    }
    return true;
}

Millis Controller::viewAge() const
{
    return m_lease.age(timeNow());
}

std::optional<Sequence> Controller::commit(const Proposer &propose)
{
    m_sleep.wake();
    const std::lock_guard lock(m_stepMutex);
    bool isUnknown = false;
    for (int tries = 0; tries < kMaxCommitTries; ++tries) {
        if (!refreshFromTable())
            throw PlatformUnavailable("the platform's table can't be read; nothing was changed");
        std::optional<LogEntry> entry = propose(m_state);
        if (!entry)
            return std::nullopt;
        const AppendOutcome outcome = append(std::move(*entry));
        if (outcome == AppendOutcome::Committed)
            return m_state.sequence();
        isUnknown = outcome == AppendOutcome::Unknown;
        if (isUnknown)
            break;
    }
    if (isUnknown)
        throw OutcomeUnknown("the table did not answer; look at the status before trying again");
    throw PlatformUnavailable("too many other changes at the same time; nothing was changed");
}

std::vector<MemberRow> Controller::members() const
{
    const std::shared_lock lock(m_stateMutex);
    return m_members.live(timeNow());
}

std::map<HostId, std::string> Controller::waiting() const
{
    const std::shared_lock lock(m_stateMutex);
    return m_waiting;
}

std::vector<std::string> Controller::historyOf(const std::string &name) const
{
    const std::shared_lock lock(m_stateMutex);
    const std::string quoted = "\"" + name + "\"";
    std::vector<std::string> result;
    for (const auto &[sequence, text] : m_recent) {
        if (text.find(quoted) != std::string::npos)
            result.push_back(text);
    }
    return result;
}

void Controller::run()
{
    while (!m_isStopping) {
        const Instant started = timeNow();
        try {
            const std::lock_guard lock(m_stepMutex);
            step();
        } catch (const std::exception &error) {
            m_metrics.count("control_steps_failed_total");
            logWarning("control_step_failed", {{"error", error.what()}});
        }
        const bool isBusy = timeNow() - m_lastActivity.load() < kBusyAfterChange;
        const Millis period = isBusy ? m_settings.tick : std::max(m_settings.tick, kIdleTick);
        m_sleep.sleepUntil(started + period);
    }
}

void Controller::step()
{
    const Instant now = timeNow();
    if (!refreshFromTable())
        refreshFromPeer();
    heartbeat(now);
    readMembers(now);
    readHostList(now);
    removeDeadMembers(now);
    if (m_hasView && m_lease.isFresh(timeNow()) && !m_isLeaving)
        decide(timeNow());
    m_metrics.gauge("view_sequence", static_cast<double>(m_state.sequence().value));
    m_metrics.gauge("config_version", static_cast<double>(m_state.configVersion().value));
    m_metrics.gauge("view_age_seconds", static_cast<double>(viewAge().count()) / 1000);
}

bool Controller::refreshFromTable()
{
    try {
        for (int tries = 0; tries < kMaxHeadReads; ++tries) {
            const Instant readStarted = timeNow();
            const LogHead head = m_log.readHead();
            if (head.sequence < m_state.sequence()) {
                m_metrics.count("stale_heads_total");
                return false;
            }
            catchUp(head.sequence);
            if (m_state.sequence() < head.sequence)
                return false;
            m_lease.renew(readStarted);
            m_head = head;
            if (m_state.sequence() == head.sequence)
                return true;
        }
        return false;
    } catch (const std::exception &error) {
        m_metrics.count("table_reads_failed_total");
        logWarning("table_read_failed", {{"error", error.what()}});
        return false;
    }
}

void Controller::catchUp(Sequence target)
{
    if (!m_hasView || target.value > m_state.sequence().value + kMaxRecentEntries)
        adopt(m_log.load());
    while (m_state.sequence() < target) {
        const auto entries = m_log.readAfter(m_state.sequence(), kEntriesPerRead);
        for (const LogEntry &entry : entries) {
            if (!applyEntry(entry))
                return;
        }
        if (entries.empty())
            return;
    }
}

void Controller::refreshFromPeer()
{
    std::vector<std::string> addresses = peerAddresses();
    if (addresses.empty())
        return;
    std::uniform_int_distribution<std::size_t> pick(0, addresses.size() - 1);
    const std::string &address = addresses[pick(m_random)];
    try {
        PeerClient client(address, m_settings.platformTimeout);
        const Instant asked = timeNow();
        PeerEntries answer = client.pull(m_state.sequence());
        if (!m_hasView || answer.needsSnapshot) {
            PeerSnapshot snapshot = client.snapshot();
            if (snapshot.state.sequence() > m_state.sequence() || !m_hasView)
                adopt(std::move(snapshot.state));
            answer.viewAge = std::max(answer.viewAge, snapshot.viewAge);
        }
        for (const LogEntry &entry : answer.entries)
            applyEntry(entry);
        if (m_state.sequence() >= answer.sequence)
            m_lease.renew(asked - answer.viewAge);
        m_metrics.count("peer_pulls_total");
    } catch (const std::exception &error) {
        m_metrics.count("peer_pulls_failed_total");
        logWarning("peer_pull_failed", {{"peer", address}, {"error", error.what()}});
    }
}

void Controller::adopt(FleetState state)
{
    {
        const std::unique_lock lock(m_stateMutex);
        m_state = std::move(state);
        m_recent.clear();
    }
    m_routes.refresh(m_state, {});
    m_hasView = true;
    logInfo("view_loaded",
            {{"sequence", std::to_string(m_state.sequence().value)},
             {"config", std::to_string(m_state.configVersion().value)}});
}

bool Controller::applyEntry(const LogEntry &entry)
{
    const bool hasNewConfig = acceptsConfig(entry);
    std::set<PoolId> pools = poolsTouched(m_state, entry);
    {
        const std::unique_lock lock(m_stateMutex);
        if (!m_state.apply(entry))
            return false;
        if (startsDrain(entry)) {
            m_latestDrain = entry.sequence;
            m_lastActivity = timeNow();
        }
        m_recent.emplace_back(entry.sequence, toJson(entry).serialize());
        if (m_recent.size() > kMaxRecentEntries)
            m_recent.pop_front();
    }
    if (hasNewConfig)
        m_routes.refresh(m_state, {});
    else if (!pools.empty())
        m_routes.refresh(m_state, pools);
    if (hasNewConfig) {
        logInfo("configuration_adopted",
                {{"version", std::to_string(m_state.configVersion().value)}});
    }
    return true;
}

void Controller::heartbeat(Instant now)
{
    // Those who drain a host wait until everyone has seen it, so that is said at once.
    const bool owesAcknowledgement = m_row.acknowledged < m_latestDrain;
    if (now < m_nextHeartbeat && !owesAcknowledgement)
        return;
    const auto members = static_cast<Millis::rep>(m_members.size());
    m_nextHeartbeat = now + std::max(kShortestHeartbeat, kHeartbeatPerMember * members);
    ++m_row.beat;
    m_row.acknowledged = m_state.sequence();
    m_row.config = m_state.configVersion();
    m_row.leaving = m_isLeaving;
    try {
        m_table.transact({{.key = {kMemberPartition, m_settings.id.name()},
                           .version = m_row.beat,
                           .data = encodeMember(m_row)}},
                         newOperation());
    } catch (const std::exception &) {
        m_metrics.count("heartbeats_failed_total");
    }
}

void Controller::readMembers(Instant now)
{
    if (now < m_nextMemberRead)
        return;
    const auto members = static_cast<Millis::rep>(m_members.size());
    m_nextMemberRead = now
        + (m_awaitsAcknowledgements
               ? kAwaitingMemberReadPerMember * members
               : std::max(kShortestMemberRead, kMemberReadPerMember * members));
    const Sequence seenAt = m_state.sequence();
    std::vector<MemberRow> rows;
    try {
        std::string after;
        for (;;) {
            const TablePage page = m_table.query({.partition = kMemberPartition, .after = after});
            for (const TableItem &item : page.items)
                rows.push_back(parseMember(item.data));
            if (!page.nextAfter)
                break;
            after = *page.nextAfter;
        }
    } catch (const std::exception &error) {
        m_metrics.count("member_reads_failed_total");
        return;
    }
    std::size_t live = 0;
    {
        const std::unique_lock lock(m_stateMutex);
        m_members.update(rows, seenAt, timeNow());
        live = m_members.live(timeNow()).size();
    }
    m_metrics.gauge("entry_hosts_live", static_cast<double>(live));
    m_routes.setEntryHosts(static_cast<int>(std::max<std::size_t>(live, 1)));
}

void Controller::readHostList(Instant now)
{
    if (now < m_nextHostList)
        return;
    m_nextHostList = now + kHostListPeriod;
    try {
        m_hostList = fetchHostList(m_settings.hostListUrl, m_settings.platformTimeout);
        m_hasHostList = true;
        m_watcher.setHostList(m_hostList);
    } catch (const std::exception &) {
        m_hasHostList = false;
        m_metrics.count("host_list_reads_failed_total");
    }
}

void Controller::removeDeadMembers(Instant now)
{
    if (!m_hasHostList)
        return;
    for (const EntryId entry : m_members.silentFor(kMemberSilence, now)) {
        // A row is removed only when the platform, too, no longer knows the entry host.
        if (m_hostList.contains(entry.name()) || entry == m_settings.id)
            continue;
        try {
            m_table.transact(
                {{.kind = TableWrite::Kind::Delete, .key = {kMemberPartition, entry.name()}}},
                newOperation());
            logInfo("entry_host_removed", {{"removed", entry.name()}});
        } catch (const std::exception &) {
            m_metrics.count("member_removals_failed_total");
        }
    }
}

void Controller::decide(Instant now)
{
    std::vector<PoolId> owned;
    std::set<PoolId> pools;
    for (const auto &[pool, rule] : m_state.config().pools)
        pools.insert(pool);
    for (const auto &[host, record] : m_state.hosts())
        pools.insert(record.pool);
    const std::vector<EntryId> owners = m_members.owners(now);
    for (const PoolId pool : pools) {
        if (ownerOf(pool, owners) == m_settings.id)
            owned.push_back(pool);
    }
    watchHosts(owned);
    std::erase_if(m_planners, [&owned](const auto &item) {
        return std::find(owned.begin(), owned.end(), item.first) == owned.end();
    });
    Observations seen{.hosts = m_watcher.observations(now),
                      .entries = m_members.observations(now),
                      .entriesSeenAt = m_members.seenAt()};
    {
        const std::unique_lock lock(m_stateMutex);
        m_waiting.clear();
    }
    for (const PoolId pool : owned) {
        PoolPlanner &planner = m_planners.try_emplace(pool, pool, PlannerSettings{}).first->second;
        if (!decideFor(planner, seen, now))
            return;
    }
}

bool Controller::decideFor(PoolPlanner &planner, const Observations &seen, Instant now)
{
    PoolPlan plan = planner.decide(m_state, seen, now);
    for (const WorkerCommand &command : plan.commands)
        m_watcher.send(command, WorkerClient::bodyOf(command, m_state.config()));
    {
        const std::unique_lock lock(m_stateMutex);
        m_waiting.insert(plan.waiting.begin(), plan.waiting.end());
    }
    if (plan.changes.empty())
        return true;
    // What was seen may no longer hold when this process was paused since.
    if (timeNow() - now > kOldestDecision) {
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

AppendOutcome Controller::append(LogEntry entry)
{
    entry.sequence = m_state.sequence().next();
    entry.actor = m_settings.id;
    entry.operation = newOperation();
    if (m_head.sequence != m_state.sequence())
        return AppendOutcome::Conflict;
    Register after;
    if (acceptsConfig(entry)) {
        after = m_state.config();
        for (const Change &change : entry.changes) {
            if (const auto *config = std::get_if<ConfigChange>(&change))
                applyPatch(after, config->patch);
        }
    }
    const AppendOutcome outcome = m_log.append(entry, after, m_head);
    if (outcome == AppendOutcome::Committed)
        applyEntry(entry);
    return outcome;
}

std::string Controller::newOperation()
{
    return m_settings.id.name() + "-" + m_row.incarnation + "-" + std::to_string(++m_lastOperation);
}

std::vector<std::string> Controller::peerAddresses() const
{
    std::vector<std::string> addresses;
    for (const MemberRow &member : m_members.all()) {
        if (member.id != m_settings.id)
            addresses.push_back(member.peerAddress);
    }
    for (const SocketAddress &seed : m_settings.seeds) {
        if (std::find(addresses.begin(), addresses.end(), seed.text()) == addresses.end())
            addresses.push_back(seed.text());
    }
    return addresses;
}

} // namespace oleanderhall
