#include <utility>

#include "entryhost.h"

#include "controller.h"
#include "log.h"
#include "metrics.h"
#include "operatorapi.h"
#include "operatorserver.h"

#include "../http/callerserver.h"
#include "../http/claimservice.h"
#include "../http/dispatcher.h"
#include "../http/routetable.h"
#include "../http/servicehandler.h"
#include "../http/upstreamclient.h"
#include "../peer/peerserver.h"

#include <boost/asio/executor_work_guard.hpp>
#include <pplx/threadpool.h>

#include <malloc.h>

#include <csignal>
#include <optional>
#include <thread>
#include <vector>

namespace oleanderhall {

namespace {

constexpr int kPlatformThreads = 8; // Shared by the HTTP client and the operators' server
constexpr int kMallocArenas = 2;
constexpr Millis kHousekeepingPeriod{500};
constexpr Millis kStopPollPeriod{20};
constexpr int kExitRequestsCutOff = 1;

/// Blocks the stop signals in this thread and in all threads that it starts later.
sigset_t blockStopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

/// Waits up to `wait` for a stop signal. Returns whether one was received.
bool waitForStop(const sigset_t &signals, Millis wait)
{
    constexpr long kNanosPerMilli = 1000000;
    constexpr long kMillisPerSecond = 1000;
    const timespec limit{.tv_sec = wait.count() / kMillisPerSecond,
                         .tv_nsec = (wait.count() % kMillisPerSecond) * kNanosPerMilli};
    return sigtimedwait(&signals, nullptr, &limit) > 0;
}

CallerLimits limitsFrom(const Settings &settings)
{
    CallerLimits limits;
    limits.headerBytes = static_cast<std::size_t>(settings.maxHeaderBytes);
    limits.bodyBytes = static_cast<std::size_t>(settings.maxBodyBytes);
    limits.bufferedBytes = static_cast<std::size_t>(settings.maxBufferedBytes);
    limits.connections = settings.maxConnections;
    limits.headerTimeout = settings.headerTimeout;
    limits.bodyTimeout = settings.bodyTimeout;
    limits.idleTimeout = settings.idleTimeout;
    limits.responseTimeout = settings.responseTimeout;
    return limits;
}

RouterSettings routerSettingsFrom(const Settings &settings)
{
    return {.zone = settings.zone,
            .entryHostCount = 1,
            .maxWaiting = static_cast<std::size_t>(settings.maxWaiting),
            .seed = std::random_device{}()};
}

class EntryHost
{
public:
    explicit EntryHost(const Settings &settings)
        : m_settings(settings)
        , m_workGuard(boost::asio::make_work_guard(m_io))
        , m_table(settings.tableUrl, settings.platformTimeout)
        , m_routes(routerSettingsFrom(settings))
        , m_lease(settings.viewLease)
        , m_upstreams(m_io, {})
        , m_claims(m_table)
        , m_dispatcher({.routes = m_routes,
                        .upstreams = m_upstreams,
                        .claims = m_claims,
                        .view = m_lease,
                        .metrics = m_metrics,
                        .traces = m_traces,
                        .retryPercent = settings.retryPercent})
        , m_controller(settings, m_table, m_routes, m_lease, m_metrics)
        , m_api(settings, m_controller, m_traces)
        , m_callers(std::make_shared<CallerServer>(
              m_io, limitsFrom(settings),
              makeServiceHandler(
                  m_dispatcher, m_routes, m_metrics, [this] { return isReady(); }, m_isDraining),
              m_metrics))
    {
        for (int index = 0; index < settings.threads; ++index)
            m_threads.emplace_back([this] { m_io.run(); });
    }

    ~EntryHost()
    {
        m_io.stop();
        for (std::thread &thread : m_threads)
            thread.join();
    }
    EntryHost(const EntryHost &) = delete;
    EntryHost &operator=(const EntryHost &) = delete;

    int run(const sigset_t &signals)
    {
        m_peers.emplace(m_settings.peers.text(), peerSource());
        m_operators.emplace(m_settings.operators, m_api, m_metrics, [this] { return isReady(); });
        m_callers->start(m_settings.callers.address, m_settings.callers.port);
        m_controller.start();
        logInfo("started",
                {{"zone", m_settings.zone.name()},
                 {"callers", m_settings.callers.text()},
                 {"operators", m_settings.operators.text()},
                 {"peers", m_settings.peers.text()}});
        while (!waitForStop(signals, kHousekeepingPeriod))
            runHousekeeping();
        return stop(signals);
    }

private:
    bool isReady() const { return m_controller.hasView() && !m_isStopping; }

    void runHousekeeping()
    {
        m_upstreams.closeIdle(std::chrono::steady_clock::now());
        const auto [inFlight, waiting] = m_routes.load();
        m_metrics.gauge("ready_instances", m_routes.upstreamCount());
        m_metrics.gauge("requests_in_flight", inFlight);
        m_metrics.gauge("requests_waiting", waiting);
        m_metrics.gauge("caller_connections", m_callers->connectionCount());
        m_upstreams.setMaxConnections(m_routes.maxConnectionsPerUpstream());
    }

    /// Stops in this order: reports 'not ready' and closes each connection after its next response;
    /// after the stop notice, closes the callers' listener and waits for the requests in flight;
    /// then stops the control loop. Returns the exit code.
    int stop(const sigset_t &signals)
    {
        logInfo("stopping");
        m_isStopping = true;
        m_controller.leave();
        m_isDraining = true;
        m_callers->drain();
        if (waitForStop(signals, m_settings.stopNotice))
            return stopImmediately();
        m_callers->stop();
        const Instant deadline = std::chrono::steady_clock::now() + m_settings.stopLimit;
        while (m_callers->requestsInFlight() > 0 && std::chrono::steady_clock::now() < deadline) {
            if (waitForStop(signals, kStopPollPeriod))
                return stopImmediately();
        }
        m_controller.stop();
        logInfo("stopped", {{"cutOff", std::to_string(m_callers->requestsInFlight())}});
        return m_callers->requestsInFlight() == 0 ? 0 : kExitRequestsCutOff;
    }

    /// Ends the process without waiting for the requests in flight, after a second stop signal.
    int stopImmediately()
    {
        logWarning("stopped_by_second_signal",
                   {{"cutOff", std::to_string(m_callers->requestsInFlight())}});
        return kExitRequestsCutOff;
    }

    PeerSource peerSource()
    {
        return {.withState = [this](const auto &visit) { m_controller.withState(visit); },
                .entriesAfter =
                    [this](Sequence after, std::size_t limit, std::vector<std::string> &out) {
                        return m_controller.entriesAfter(after, limit, out);
                    },
                .viewAge = [this] { return m_controller.viewAge(); }};
    }

    const Settings &m_settings;
    boost::asio::io_context m_io;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_workGuard;
    Metrics m_metrics;
    RequestTraces m_traces;
    DynamoTable m_table;
    RouteTable m_routes;
    ViewLease m_lease;
    UpstreamClient m_upstreams;
    ClaimService m_claims;
    Dispatcher m_dispatcher;
    Controller m_controller;
    OperatorApi m_api;
    std::shared_ptr<CallerServer> m_callers;
    std::optional<PeerServer> m_peers;
    std::optional<OperatorServer> m_operators;
    std::atomic<bool> m_isStopping{false};
    std::atomic<bool> m_isDraining{false};
    std::vector<std::thread> m_threads;
};

} // namespace

int runEntryHost(const Settings &settings)
{
    mallopt(M_ARENA_MAX, kMallocArenas);
    const sigset_t signals = blockStopSignals();
    std::signal(SIGPIPE, SIG_IGN);
    crossplat::threadpool::initialize_with_threads(kPlatformThreads);
    startLog(settings.id.name());
    EntryHost host(settings);
    return host.run(signals);
}

} // namespace oleanderhall
