#include <utility>

#include "fleetnode.h"

#include "callerapi.h"
#include "callforwarder.h"
#include "candidaterow.h"
#include "fleetowner.h"
#include "fleetview.h"
#include "memberregistry.h"
#include "storednames.h"
#include "tablemonitor.h"
#include "tablewatcher.h"
#include "viewupdate.h"

#include "../../platform/tablenames.h"
#include "../daemon/log.h"
#include "../daemon/metrics.h"
#include "../http/callerserver.h"

#include "oleanderhall/core/clock.h"
#include "oleanderhall/ownership/eventlooplag.h"
#include "oleanderhall/ownership/ownership.h"

#include <boost/asio/signal_set.hpp>
#include <cpprest/json.h>

#include <malloc.h>

#include <csignal>
#include <functional>
#include <random>

namespace oleanderhall {

namespace asio = boost::asio;

namespace {

constexpr Millis kControlLongPoll{1000};
// Short enough to detect a silently broken connection before the next configuration version.
constexpr Millis kOperatorLongPoll{1200};
constexpr Millis kControlTimeout{1500}; // of a renewal or hand-over; the ownership lease is 2 s
// A take-over that timed out stays in a slow table's queue, ahead of the next attempt.
constexpr Millis kTakeOverTimeout{2500};
constexpr Millis kOwnershipCheckInterval{50};
constexpr int kMaxJitterMs = 300;
// Lets the load balancer notice: it probes once a second and reacts to the second failure.
constexpr Millis kUnreadyPeriod{2300};
constexpr Millis kShutdownReserve{800}; // left before the platform kills the process
constexpr Millis kShutdownPollInterval{20};
constexpr int kOk = 200;
constexpr int kUnavailable = 503;
constexpr int kNotFound = 404;
constexpr long kTrimThreshold = 256L << 10; // bytes of free heap that are returned to the system

CallerLimits callerLimits()
{
    CallerLimits limits;
    limits.headerBytes = 16UL << 10;
    limits.bodyBytes = 256UL << 10;
    limits.connections = 2000;
    return limits;
}

CallerLimits peerLimits()
{
    CallerLimits limits = callerLimits();
    limits.bufferedBytes = 4UL << 20;
    limits.connections = 2400; // 16 from each of 147 nodes
    return limits;
}

std::string encodeTerm(const TermRecord &term)
{
    web::json::value record = web::json::value::object();
    record["owner"] = web::json::value(term.owner);
    record["generation"] = web::json::value(term.generation);
    record["processorShare"] = web::json::value(term.processorCores);
    return record.serialize();
}

class FleetNode
{
public:
    explicit FleetNode(const NodeSettings &settings)
        : m_settings(settings)
        , m_signals(m_io, SIGTERM, SIGINT, SIGHUP)
        , m_table(m_io, settings.tableAddress, m_metrics)
        , m_api(m_io, m_table, m_view, m_metrics, settings.teamRateWindow)
        , m_peers(registration())
        , m_members(m_io, m_table, registration(), m_peers, m_metrics)
        , m_forwarder(m_io, m_view, m_peers, m_tableMonitor, m_metrics,
                      [this](HttpRequest &request) { return m_api.answer(request); })
        , m_ownership(settings.id.name(), ownershipSettings(), monotonicNow())
        , m_ownershipTimer(m_io)
        , m_shutdownTimer(m_io)
    {
        m_view.accessLease = AccessLease(settings.keyWithdrawalTimeout);
        m_table.setObserver([this](const platform::TableCall &call) {
            m_tableMonitor.observe(call, monotonicNow());
        });
        m_api.setHandOff(
            [this](int partition) { return m_forwarder.isBetterElsewhere(partition); });
        m_forwarder.setSilenceTest([this](Instant now) { return m_api.isTableSilent(now); });
    }

    int run()
    {
        waitForSignal();
        serveCallers();
        servePeers();
        serveHealth();
        serveMetrics();
        watchTables();
        checkOwnership();
        logInfo("started",
                {{"zone", m_settings.zone.name()},
                 {"callers", m_settings.callerAddress.text()},
                 {"table", m_settings.tableAddress}});
        m_io.run();
        logInfo("stopped", {{"cut_off", std::to_string(m_callerServer->requestsInFlight())}});
        return 0;
    }

private:
    OwnershipSettings ownershipSettings()
    {
        OwnershipSettings result;
        std::random_device device;
        result.processorCores = m_settings.processorCores;
        result.jitter = Millis(static_cast<int>(device() % kMaxJitterMs));
        return result;
    }

    bool isReady() const
    {
        return m_view.config && m_view.isTableReachable(monotonicNow()) && !m_isShuttingDown;
    }

    void serveCallers()
    {
        m_callerServer = std::make_shared<CallerServer>(
            m_io, callerLimits(),
            [this](HttpRequest &request) { return m_forwarder.answer(request); }, m_metrics);
        m_callerServer->start(m_settings.callerAddress.address, m_settings.callerAddress.port);
    }

    /// Without a peer address this node knows no peers, so it forwards nothing.
    void servePeers()
    {
        if (m_settings.peerAddress.port == 0)
            return;
        m_peerServer = std::make_shared<CallerServer>(
            m_io, peerLimits(),
            [this](HttpRequest &request) { return m_forwarder.answerPeer(request); }, m_metrics);
        m_peerServer->start(m_settings.peerAddress.address, m_settings.peerAddress.port);
        m_members.start();
    }

    Peer registration() const
    {
        return {.id = m_settings.id,
                .zone = m_settings.zone,
                .address = m_settings.peerAddress.text(),
                .processorCores = m_settings.processorCores};
    }

    void serveHealth()
    {
        m_healthServer = std::make_shared<CallerServer>(
            m_io, callerLimits(), [this](HttpRequest &request) { return answerHealth(request); },
            m_metrics);
        m_healthServer->start(m_settings.healthAddress.address, m_settings.healthAddress.port);
    }

    void serveMetrics()
    {
        if (m_settings.metricsAddress.port == 0)
            return;
        m_metricsServer = std::make_shared<CallerServer>(
            m_io, callerLimits(), [this](HttpRequest &request) { return answerMetrics(request); },
            m_metrics);
        m_metricsServer->start(m_settings.metricsAddress.address, m_settings.metricsAddress.port);
    }

    asio::awaitable<Reply> answerHealth(HttpRequest &)
    {
        co_return Reply{.status = isReady() ? kOk : kUnavailable};
    }

    asio::awaitable<Reply> answerMetrics(HttpRequest &request)
    {
        if (request.target() != "/metrics")
            co_return Reply{.status = kNotFound};
        m_metrics.gauge("log_lines_dropped", static_cast<double>(droppedLogLines()));
        m_metrics.gauge("is_owner", m_ownership.isOwner() ? 1 : 0);
        m_metrics.gauge("event_loop_lag_ms", static_cast<double>(m_loopLag.average().count()));
        m_metrics.gauge("candidates_known", static_cast<double>(m_ownership.candidateCount()));
        m_metrics.gauge("caller_connections", m_callerServer->connectionCount());
        m_metrics.gauge("configuration_age_ms",
                        static_cast<double>(m_view.accessLease.age(monotonicNow()).count()));
        co_return Reply{.status = kOk,
                        .headers = {{"Content-Type", "text/plain; version=0.0.4"}},
                        .body = m_metrics.text()};
    }

    void watchTables()
    {
        m_controlWatcher = std::make_shared<TableWatcher>(
            m_io, m_table,
            TableWatcher::Source{.table = kControlTable,
                                 .partitions = {kControlPartition},
                                 .longPoll = kControlLongPoll},
            [this](const TableWatcher::Update &update) { applyControlUpdate(update); });
        m_controlWatcher->start();
        m_operatorWatcher = std::make_shared<TableWatcher>(
            m_io, m_table,
            TableWatcher::Source{.table = platform::kOperatorTable,
                                 .partitions = {""},
                                 .longPoll = kOperatorLongPoll},
            [this](const TableWatcher::Update &update) { applyOperatorUpdate(update); });
        m_operatorWatcher->start();
    }

    void recordContact(const TableWatcher::Update &update)
    {
        if (update.sentAt <= m_view.lastContact)
            return;
        m_view.lastContact = update.sentAt;
        m_view.tableClockMs = update.clockMs;
    }

    void applyControlUpdate(const TableWatcher::Update &update)
    {
        recordContact(update);
        TermRecord term = m_ownership.term();
        std::uint64_t heartbeat = m_ownership.heartbeatVersion();
        for (const platform::TableRow &row : update.rows) {
            if (row.key == kTermKey && row.version >= term.version)
                term = decodeTerm(row);
            if (row.key == kHeartbeatKey && row.version >= heartbeat) {
                heartbeat = row.version;
                applyOwnerReport(m_view, row.value);
            }
            if (row.key.starts_with(kHandledHostsPrefix))
                applyHandledHosts(m_view, row);
            if (row.key.starts_with(kCandidatePrefix) && !row.isDeleted)
                applyCandidate(row, !update.isSnapshot);
        }
        const bool wasOwner = m_ownership.isOwner();
        m_ownership.onRecordsRead(term, heartbeat, monotonicNow());
        if (wasOwner && !m_ownership.isOwner())
            endTerm();
    }

    void applyCandidate(const platform::TableRow &row, bool isFresh)
    {
        if (const auto candidate = decodeCandidate(row))
            m_ownership.onAnnouncement(row.key.substr(kCandidatePrefix.size()), *candidate,
                                       row.version, isFresh, monotonicNow());
    }

    void applyOperatorUpdate(const TableWatcher::Update &update)
    {
        recordContact(update);
        for (const platform::TableRow &row : update.rows)
            applyOperatorRow(m_view, row);
        if (m_view.config && m_view.unreadableConfigRow == 0)
            m_view.accessLease.confirm(update.sentAt);
        if (m_owner && !update.rows.empty())
            m_owner->viewChanged();
    }

    void checkOwnership()
    {
        const Instant now = monotonicNow();
        measureLoopLag(now);
        if (m_owner && (m_owner->isSuperseded() || !m_ownership.isOwner())) {
            m_ownership.onRenewResult(false, true, 0, now, now);
            endTerm();
        }
        switch (m_ownership.nextStep(now)) {
        case Ownership::Step::TakeOver:
            takeOver();
            break;
        case Ownership::Step::Renew:
            renew();
            break;
        case Ownership::Step::HandOver:
            handOver(m_ownership.candidate(now).isBehind() ? "behind" : "outranked");
            break;
        case Ownership::Step::None:
            break;
        }
        if (m_ownership.isAnnouncementDue(now))
            announce(now);
        m_nextOwnershipCheck = monotonicNow() + kOwnershipCheckInterval;
        m_ownershipTimer.expires_after(kOwnershipCheckInterval);
        m_ownershipTimer.async_wait([this](const boost::system::error_code &error) {
            if (!error)
                checkOwnership();
        });
    }

    void measureLoopLag(Instant now)
    {
        if (m_nextOwnershipCheck != Instant())
            m_loopLag.record(m_nextOwnershipCheck, now);
        const bool wasBehind = m_ownership.candidate(now).isBehind();
        m_ownership.setLoopLag(m_loopLag.average());
        const bool isBehind = m_ownership.candidate(now).isBehind();
        if (wasBehind != isBehind)
            logEvent(isBehind ? "event_loop_behind" : "event_loop_caught_up", isBehind,
                     {{"lag_ms", std::to_string(m_loopLag.average().count())},
                      {"owner", m_ownership.isOwner() ? "true" : "false"}});
    }

    /// Announces this process as a candidate for ownership. A lost announcement is repeated at the
    /// next interval.
    void announce(Instant now)
    {
        m_ownership.onAnnounced(now);
        m_metrics.count("candidacy_announcements_total");
        platform::Transaction transaction{.partition = kControlPartition};
        transaction.writes.push_back(
            encodeCandidate(m_settings.id.name(), m_ownership.candidate(now)));
        m_table.transact(transaction, kControlTimeout, [](const platform::TransactionResult &) {});
    }

    void takeOver()
    {
        const TermRecord term = m_ownership.term();
        platform::Transaction transaction{.partition = kControlPartition};
        transaction.preconditions.push_back({kControlTable, kTermKey, term.version});
        transaction.preconditions.push_back(
            {kControlTable, kHeartbeatKey, m_ownership.heartbeatVersion()});
        transaction.writes.push_back({kControlTable, kTermKey,
                                      encodeTerm({.owner = m_settings.id.name(),
                                                  .generation = term.generation + 1,
                                                  .processorCores = m_settings.processorCores})});
        transaction.writes.push_back({kControlTable, kHeartbeatKey, "{}"});
        m_table.transact(
            transaction, kTakeOverTimeout, [this](const platform::TransactionResult &response) {
                const bool isDone = response.outcome == platform::TransactionResult::Outcome::Done;
                m_ownership.onTakeOverResult(isDone, response.version, response.sentAt,
                                             monotonicNow());
                if (!isDone || m_isShuttingDown)
                    return;
                m_metrics.count("ownership_taken_total");
                m_owner = std::make_shared<FleetOwner>(m_io, m_settings, m_table, m_ownership,
                                                       m_view, m_metrics);
                m_owner->start();
            });
    }

    std::string encodeReport() const
    {
        web::json::value record = web::json::value::object();
        if (m_owner && m_owner->isLoaded()) {
            web::json::value waiting = web::json::value::object();
            for (const QueueLoad &load : m_owner->queueLoads(monotonicNow()))
                waiting[load.queue] = web::json::value(load.waitingJobs);
            record["waiting"] = waiting;
            record["countedMs"] = web::json::value(m_owner->jobsReadClockMs());
            if (m_view.config && !m_view.config->teams.empty())
                encodeLoadReport(m_owner->loadReport(monotonicNow()), record);
        }
        return record.serialize();
    }

    void renew()
    {
        platform::Transaction transaction{.partition = kControlPartition};
        transaction.preconditions.push_back({kControlTable, kTermKey, m_ownership.term().version});
        transaction.writes.push_back({kControlTable, kHeartbeatKey, encodeReport()});
        m_table.transact(
            transaction, kControlTimeout, [this](const platform::TransactionResult &response) {
                using Outcome = platform::TransactionResult::Outcome;
                m_ownership.onRenewResult(response.outcome == Outcome::Done,
                                          response.outcome == Outcome::Conflict, response.version,
                                          response.sentAt, monotonicNow());
                if (!m_ownership.isOwner())
                    endTerm();
            });
    }

    void endTerm()
    {
        if (!m_owner)
            return;
        m_owner->stop();
        m_owner.reset();
    }

    void waitForSignal()
    {
        m_signals.async_wait([this](const boost::system::error_code &error, int signal) {
            if (error)
                return;
            if (signal == SIGHUP) {
                logInfo("settings_reload", {{"effect", "none: settings are read only at startup"}});
                waitForSignal();
                return;
            }
            beginShutdown();
        });
    }

    /// Reports not ready and hands ownership over. Serves callers until the load balancer has
    /// noticed, then finishes the open requests and ends.
    void beginShutdown()
    {
        logInfo("stopping", {{"owner", m_ownership.isOwner() ? "true" : "false"}});
        m_isShuttingDown = true;
        m_ownership.resign();
        handOver("stopping");
        if (m_peerServer) {
            m_members.leave();
            m_peerServer->drain();
        }
        m_shutdownTimer.expires_after(kUnreadyPeriod);
        m_shutdownTimer.async_wait([this](const boost::system::error_code &) {
            m_callerServer->drain();
            m_callerServer->stop();
            if (m_peerServer)
                m_peerServer->stop();
            m_shutdownDeadline = monotonicNow() + m_settings.shutdownTimeout - kUnreadyPeriod
                - kShutdownReserve;
            finishShutdown();
        });
    }

    /// Ends all work as the owner, then records that the ownership is vacant.
    void handOver(const char *reason)
    {
        if (!m_ownership.isOwner())
            return;
        const TermRecord term = m_ownership.term();
        endTerm();
        m_ownership.relinquish(monotonicNow());
        m_metrics.count("ownership_handed_over_total");
        platform::Transaction transaction{.partition = kControlPartition};
        transaction.preconditions.push_back({kControlTable, kTermKey, term.version});
        transaction.writes.push_back(
            {kControlTable, kTermKey,
             encodeTerm({.generation = term.generation, .processorCores = term.processorCores})});
        m_table.transact(
            transaction, kControlTimeout, [reason](const platform::TransactionResult &result) {
                logInfo("ownership_handed_over",
                        {{"reason", reason},
                         {"done",
                          result.outcome == platform::TransactionResult::Outcome::Done ? "true"
                                                                                       : "false"}});
            });
    }

    void finishShutdown()
    {
        const int peerCalls = m_peerServer ? m_peerServer->requestsInFlight() : 0;
        if (m_callerServer->requestsInFlight() + peerCalls == 0
            || monotonicNow() >= m_shutdownDeadline) {
            m_io.stop();
            return;
        }
        m_shutdownTimer.expires_after(kShutdownPollInterval);
        m_shutdownTimer.async_wait([this](const boost::system::error_code &) { finishShutdown(); });
    }

    const NodeSettings &m_settings;
    asio::io_context m_io{1};
    asio::signal_set m_signals;
    Metrics m_metrics;
    platform::TableClient m_table;
    TableMonitor m_tableMonitor;
    FleetView m_view;
    CallerApi m_api;
    PeerList m_peers;
    MemberRegistry m_members;
    CallForwarder m_forwarder;
    Ownership m_ownership;
    EventLoopLag m_loopLag;
    Instant m_nextOwnershipCheck{};
    std::shared_ptr<FleetOwner> m_owner;
    std::shared_ptr<CallerServer> m_callerServer;
    std::shared_ptr<CallerServer> m_peerServer;
    std::shared_ptr<CallerServer> m_healthServer;
    std::shared_ptr<CallerServer> m_metricsServer;
    std::shared_ptr<TableWatcher> m_controlWatcher;
    std::shared_ptr<TableWatcher> m_operatorWatcher;
    asio::steady_timer m_ownershipTimer;
    asio::steady_timer m_shutdownTimer;
    Instant m_shutdownDeadline;
    bool m_isShuttingDown = false;
};

} // namespace

int runFleetNode(const NodeSettings &settings)
{
    mallopt(M_ARENA_MAX, 1);
    mallopt(M_TRIM_THRESHOLD, kTrimThreshold);
    std::signal(SIGPIPE, SIG_IGN);
    startLog(settings.id.name());
    FleetNode node(settings);
    return node.run();
}

} // namespace oleanderhall
