#include <utility>

#include "fleetnode.h"

#include "callerapi.h"
#include "fleetview.h"
#include "owner.h"
#include "storednames.h"
#include "tablefollower.h"
#include "viewupdate.h"

#include "../../platform/tablenames.h"
#include "../daemon/log.h"
#include "../daemon/metrics.h"
#include "../http/callerserver.h"

#include "oleanderhall/core/clock.h"
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

constexpr Millis kControlWait{1000};
constexpr Millis kConfigWait{1200}; // a silent connection is found in time for the next version
constexpr Millis kControlTime{1500}; // for a renewal or hand-over; the lease is 2 s
/// For a take-over. One that is given up early stays in a slow table's queue, before the next try.
constexpr Millis kTakeOverTime{2500};
constexpr Millis kDriveEvery{50};
constexpr int kMaxJitterMs = 300;
constexpr Millis kStopNotice{2300}; // the balancer asks once a second and needs two misses
constexpr Millis kStopReserve{800}; // before the platform kills the process
constexpr int kOk = 200;
constexpr int kUnavailable = 503;
constexpr int kNotFound = 404;
constexpr long kTrimThreshold = 256L << 10; // bytes of free heap that are given back

CallerLimits callerLimits()
{
    CallerLimits limits;
    limits.headerBytes = 16UL << 10;
    limits.bodyBytes = 256UL << 10;
    limits.connections = 2000;
    return limits;
}

std::string encodeTerm(const TermRecord &term)
{
    web::json::value record = web::json::value::object();
    record["owner"] = web::json::value(term.owner);
    record["generation"] = web::json::value(term.generation);
    record["processorShare"] = web::json::value(term.processorShare);
    return record.serialize();
}

class FleetNode
{
public:
    explicit FleetNode(const NodeSettings &settings)
        : m_settings(settings)
        , m_signals(m_io, SIGTERM, SIGINT, SIGHUP)
        , m_table(m_io, settings.table, m_metrics)
        , m_api(m_io, m_table, m_view, m_metrics)
        , m_ownership(settings.id.name(), ownershipSettings(), bootNow())
        , m_driveTimer(m_io)
        , m_stopTimer(m_io)
    {}

    int run()
    {
        waitForSignal();
        serveCallers();
        serveHealth();
        serveMetrics();
        follow();
        drive();
        logInfo("started",
                {{"zone", m_settings.zone.name()},
                 {"callers", m_settings.callers.text()},
                 {"table", m_settings.table}});
        m_io.run();
        logInfo("stopped", {{"cut_off", std::to_string(m_callers->busy())}});
        return 0;
    }

private:
    OwnershipSettings ownershipSettings()
    {
        OwnershipSettings result;
        std::random_device device;
        result.processorShare = m_settings.processorShare;
        result.jitter = Millis(static_cast<int>(device() % kMaxJitterMs));
        return result;
    }

    bool isReady() const
    {
        return m_view.config && m_view.isTableReachable(bootNow()) && !m_isStopping;
    }

    void serveCallers()
    {
        m_callers = std::make_shared<CallerServer>(
            m_io, callerLimits(), [this](HttpRequest &request) { return m_api.answer(request); },
            m_metrics);
        m_callers->start(m_settings.callers.address, m_settings.callers.port);
    }

    void serveHealth()
    {
        m_health = std::make_shared<CallerServer>(
            m_io, callerLimits(), [this](HttpRequest &request) { return answerHealth(request); },
            m_metrics);
        m_health->start(m_settings.health.address, m_settings.health.port);
    }

    void serveMetrics()
    {
        if (m_settings.metrics.port == 0)
            return;
        m_metricsServer = std::make_shared<CallerServer>(
            m_io, callerLimits(), [this](HttpRequest &request) { return answerMetrics(request); },
            m_metrics);
        m_metricsServer->start(m_settings.metrics.address, m_settings.metrics.port);
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
        m_metrics.gauge("caller_connections", m_callers->connections());
        co_return Reply{.status = kOk,
                        .headers = {{"Content-Type", "text/plain; version=0.0.4"}},
                        .body = m_metrics.text()};
    }

    void follow()
    {
        m_control = std::make_shared<TableFollower>(
            m_io, m_table,
            TableFollower::Source{
                .table = kControlTable, .parts = {kOwnPart}, .wait = kControlWait},
            [this](const TableFollower::Update &update) { takeControl(update); });
        m_control->start();
        m_config = std::make_shared<TableFollower>(
            m_io, m_table,
            TableFollower::Source{
                .table = platform::kOperatorTable, .parts = {""}, .wait = kConfigWait},
            [this](const TableFollower::Update &update) { takeOperatorRows(update); });
        m_config->start();
    }

    void noteContact(const TableFollower::Update &update)
    {
        if (update.sent <= m_view.lastContact)
            return;
        m_view.lastContact = update.sent;
        m_view.tableClockMs = update.clockMs;
    }

    void takeControl(const TableFollower::Update &update)
    {
        noteContact(update);
        TermRecord term = m_ownership.term();
        std::uint64_t beat = m_ownership.beatVersion();
        for (const platform::TableRow &row : update.rows) {
            if (row.key == kTermKey && row.version >= term.version)
                term = decodeTerm(row);
            if (row.key == kBeatKey && row.version >= beat) {
                beat = row.version;
                takeReport(m_view, row.value);
            }
            if (row.key.starts_with(kWavePrefix))
                takeMaintained(m_view, row);
        }
        const bool wasOwner = m_ownership.isOwner();
        m_ownership.seen(term, beat, bootNow());
        if (wasOwner && !m_ownership.isOwner())
            endTerm();
    }

    void takeOperatorRows(const TableFollower::Update &update)
    {
        noteContact(update);
        for (const platform::TableRow &row : update.rows)
            takeOperatorRow(m_view, row);
        if (m_owner && !update.rows.empty())
            m_owner->viewChanged();
    }

    void drive()
    {
        const Instant now = bootNow();
        if (m_owner && (m_owner->isDeposed() || !m_ownership.isOwner())) {
            m_ownership.renewAnswered(false, true, 0, now, now);
            endTerm();
        }
        switch (m_ownership.next(now)) {
        case Ownership::Step::TakeOver:
            takeOver();
            break;
        case Ownership::Step::Renew:
            renew();
            break;
        case Ownership::Step::None:
            break;
        }
        m_driveTimer.expires_after(kDriveEvery);
        m_driveTimer.async_wait([this](const boost::system::error_code &failed) {
            if (!failed)
                drive();
        });
    }

    void takeOver()
    {
        const TermRecord term = m_ownership.term();
        platform::Transaction transaction{.partition = kOwnPart};
        transaction.preconditions.push_back({kControlTable, kTermKey, term.version});
        transaction.preconditions.push_back({kControlTable, kBeatKey, m_ownership.beatVersion()});
        transaction.writes.push_back({kControlTable, kTermKey,
                                      encodeTerm({.owner = m_settings.id.name(),
                                                  .generation = term.generation + 1,
                                                  .processorShare = m_settings.processorShare})});
        transaction.writes.push_back({kControlTable, kBeatKey, "{}"});
        m_table.transact(transaction, kTakeOverTime, [this](const platform::TransactionResult &r) {
            const bool isDone = r.outcome == platform::TransactionResult::Outcome::Done;
            m_ownership.takeOverAnswered(isDone, r.version, r.sentAt, bootNow());
            if (!isDone || m_isStopping)
                return;
            m_metrics.count("ownership_taken_total");
            m_owner = std::make_shared<Owner>(m_io, m_settings, m_table, m_ownership, m_view,
                                              m_metrics);
            m_owner->start();
        });
    }

    std::string encodeReport() const
    {
        web::json::value record = web::json::value::object();
        if (m_owner && m_owner->isLoaded()) {
            web::json::value waiting = web::json::value::object();
            for (const QueueLoad &load : m_owner->loads())
                waiting[load.queue] = web::json::value(load.waitingJobs);
            record["waiting"] = waiting;
        }
        return record.serialize();
    }

    void renew()
    {
        platform::Transaction transaction{.partition = kOwnPart};
        transaction.preconditions.push_back({kControlTable, kTermKey, m_ownership.term().version});
        transaction.writes.push_back({kControlTable, kBeatKey, encodeReport()});
        m_table.transact(transaction, kControlTime, [this](const platform::TransactionResult &r) {
            using Outcome = platform::TransactionResult::Outcome;
            m_ownership.renewAnswered(r.outcome == Outcome::Done, r.outcome == Outcome::Conflict,
                                      r.version, r.sentAt, bootNow());
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
        m_signals.async_wait([this](const boost::system::error_code &failed, int signal) {
            if (failed)
                return;
            if (signal == SIGHUP) {
                logInfo("settings_reload",
                        {{"effect", "none of the settings changes while running"}});
                waitForSignal();
                return;
            }
            startStop();
        });
    }

    /// Not ready first, hands ownership over, answers what still comes, then ends.
    void startStop()
    {
        logInfo("stopping", {{"owner", m_ownership.isOwner() ? "true" : "false"}});
        m_isStopping = true;
        handOver();
        m_stopTimer.expires_after(kStopNotice);
        m_stopTimer.async_wait([this](const boost::system::error_code &) {
            m_callers->drain();
            m_callers->stop();
            m_stopLatest = bootNow() + m_settings.stopLimit - kStopNotice - kStopReserve;
            finishStop();
        });
    }

    void handOver()
    {
        const bool wasOwner = m_ownership.isOwner();
        const TermRecord term = m_ownership.term();
        m_ownership.resign();
        if (!wasOwner)
            return;
        endTerm();
        m_ownership.renewAnswered(false, true, 0, bootNow(), bootNow());
        platform::Transaction transaction{.partition = kOwnPart};
        transaction.preconditions.push_back({kControlTable, kTermKey, term.version});
        transaction.writes.push_back(
            {kControlTable, kTermKey,
             encodeTerm({.generation = term.generation, .processorShare = term.processorShare})});
        m_table.transact(transaction, kControlTime, [](const platform::TransactionResult &result) {
            logInfo("ownership_handed_over",
                    {{"done",
                      result.outcome == platform::TransactionResult::Outcome::Done ? "true"
                                                                                   : "false"}});
        });
    }

    void finishStop()
    {
        if (m_callers->busy() == 0 || bootNow() >= m_stopLatest) {
            m_io.stop();
            return;
        }
        m_stopTimer.expires_after(Millis(20));
        m_stopTimer.async_wait([this](const boost::system::error_code &) { finishStop(); });
    }

    const NodeSettings &m_settings;
    asio::io_context m_io{1};
    asio::signal_set m_signals;
    Metrics m_metrics;
    platform::TableClient m_table;
    FleetView m_view;
    CallerApi m_api;
    Ownership m_ownership;
    std::shared_ptr<Owner> m_owner;
    std::shared_ptr<CallerServer> m_callers;
    std::shared_ptr<CallerServer> m_health;
    std::shared_ptr<CallerServer> m_metricsServer;
    std::shared_ptr<TableFollower> m_control;
    std::shared_ptr<TableFollower> m_config;
    asio::steady_timer m_driveTimer;
    asio::steady_timer m_stopTimer;
    Instant m_stopLatest;
    bool m_isStopping = false;
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
