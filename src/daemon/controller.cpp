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
constexpr int kMaxCommitAttempts = 20;
constexpr int kMaxHeadReads = 3;
constexpr int kWatcherThreads = 2;
constexpr Millis kMemberExpiry{8000};
// Three heartbeat periods (20 ms per member each) and one read period (150 ms per member).
constexpr Millis kMemberExpiryPerMember{210};
// Short enough for four reads of the log's head within the time in which entry hosts must adopt a
// change.
constexpr Millis kIdleStepPeriod{1000};
// After a drain or another transition of a host, the loop runs at the configured tick for this long
// before it slows down to kIdleStepPeriod.
constexpr Millis kActiveTime{3000};

std::set<PoolId> affectedPools(const FleetState &before, const LogEntry &entry)
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

bool changesConfig(const LogEntry &entry)
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
    , m_changeLog(m_table, m_store)
    , m_routes(routes)
    , m_lease(lease)
    , m_metrics(metrics)
    , m_members(kMemberExpiry, kMemberExpiryPerMember)
    , m_watcher(
          WorkerClient(settings.workersUrl, settings.platformTimeout),
          [this] {
              const std::shared_lock lock(m_stateMutex);
              return m_state.sequence();
          },
          kWatcherThreads)
    , m_random(std::random_device{}())
{
    m_memberRow = {.id = settings.id,
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
    m_wakeup.wake();
    if (!m_thread.joinable())
        return;
    m_thread.join();
    try {
        m_table.transact(
            {{.kind = TableWrite::Kind::Delete, .key = {kMemberPartition, m_settings.id.name()}}},
            newOperationId());
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
    if (m_recentEntries.empty() || m_recentEntries.front().first > sequence.next())
        return false;
    for (const auto &[entrySequence, text] : m_recentEntries) {
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
    m_wakeup.wake();
    const std::lock_guard lock(m_stepMutex);
    bool isUnknown = false;
    for (int attempt = 0; attempt < kMaxCommitAttempts; ++attempt) {
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
        throw OutcomeUnknown("the table did not respond, so the change may be in force; check the "
                             "status before retrying");
    throw PlatformUnavailable("too many conflicts with concurrent changes; nothing was changed");
}

std::vector<MemberRow> Controller::members() const
{
    const std::shared_lock lock(m_stateMutex);
    return m_members.live(timeNow());
}

std::map<HostId, std::string> Controller::waitReasons() const
{
    const std::shared_lock lock(m_stateMutex);
    return m_waitReasons;
}

std::vector<std::string> Controller::recentEntriesFor(const std::string &name) const
{
    const std::shared_lock lock(m_stateMutex);
    const std::string quoted = "\"" + name + "\"";
    std::vector<std::string> result;
    for (const auto &[sequence, text] : m_recentEntries) {
        if (text.find(quoted) != std::string::npos)
            result.push_back(text);
    }
    return result;
}

void Controller::run()
{
    while (!m_isStopping) {
        const Instant startTime = timeNow();
        try {
            const std::lock_guard lock(m_stepMutex);
            step();
        } catch (const std::exception &error) {
            m_metrics.count("control_steps_failed_total");
            logWarning("control_step_failed", {{"error", error.what()}});
        }
        const bool isActive = timeNow() - m_lastActivity.load() < kActiveTime;
        const Millis period = isActive ? m_settings.tick
                                       : std::max(m_settings.tick, kIdleStepPeriod);
        m_wakeup.sleepUntil(startTime + period);
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
        for (int attempt = 0; attempt < kMaxHeadReads; ++attempt) {
            const Instant readStarted = timeNow();
            const LogHead head = m_changeLog.readHead();
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
        replaceState(m_changeLog.load());
    while (m_state.sequence() < target) {
        const auto entries = m_changeLog.readAfter(m_state.sequence(), kEntriesPerRead);
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
        const Instant requestedAt = timeNow();
        PullResult pullResult = client.pull(m_state.sequence());
        if (!m_hasView || pullResult.needsSnapshot) {
            PeerSnapshot snapshot = client.snapshot();
            if (snapshot.state.sequence() > m_state.sequence() || !m_hasView)
                replaceState(std::move(snapshot.state));
            pullResult.viewAge = std::max(pullResult.viewAge, snapshot.viewAge);
        }
        for (const LogEntry &entry : pullResult.entries)
            applyEntry(entry);
        if (m_state.sequence() >= pullResult.sequence)
            m_lease.renew(requestedAt - pullResult.viewAge);
        m_metrics.count("peer_pulls_total");
    } catch (const std::exception &error) {
        m_metrics.count("peer_pulls_failed_total");
        logWarning("peer_pull_failed", {{"peer", address}, {"error", error.what()}});
    }
}

void Controller::replaceState(FleetState state)
{
    {
        const std::unique_lock lock(m_stateMutex);
        m_state = std::move(state);
        m_recentEntries.clear();
    }
    m_routes.refresh(m_state, {});
    m_hasView = true;
    logInfo("view_loaded",
            {{"sequence", std::to_string(m_state.sequence().value)},
             {"config", std::to_string(m_state.configVersion().value)}});
}

bool Controller::applyEntry(const LogEntry &entry)
{
    const bool hasNewConfig = changesConfig(entry);
    std::set<PoolId> pools = affectedPools(m_state, entry);
    {
        const std::unique_lock lock(m_stateMutex);
        if (!m_state.apply(entry))
            return false;
        if (startsDrain(entry)) {
            m_latestDrainSequence = entry.sequence;
            m_lastActivity = timeNow();
        }
        m_recentEntries.emplace_back(entry.sequence, toJson(entry).serialize());
        if (m_recentEntries.size() > kMaxRecentEntries)
            m_recentEntries.pop_front();
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

AppendOutcome Controller::append(LogEntry entry)
{
    entry.sequence = m_state.sequence().next();
    entry.actor = m_settings.id;
    entry.operation = newOperationId();
    if (m_head.sequence != m_state.sequence())
        return AppendOutcome::Conflict;
    Register configAfter;
    if (changesConfig(entry)) {
        configAfter = m_state.config();
        for (const Change &change : entry.changes) {
            if (const auto *config = std::get_if<ConfigChange>(&change))
                applyPatch(configAfter, config->patch);
        }
    }
    const AppendOutcome outcome = m_changeLog.append(entry, configAfter, m_head);
    if (outcome == AppendOutcome::Committed)
        applyEntry(entry);
    return outcome;
}

std::string Controller::newOperationId()
{
    return m_settings.id.name() + "-" + m_memberRow.incarnation + "-"
        + std::to_string(++m_lastOperationNumber);
}

} // namespace oleanderhall
