#include "deployment.h"

#include "../platform/standin/standinrows.h"
#include "../platform/tablenames.h"

#include "oleanderhall/core/clock.h"

#include <algorithm>
#include <chrono>
#include <csignal>

namespace oleanderhall::soak {

namespace {

constexpr Millis kTick{10};
constexpr std::uint64_t kFirstStartMs = 1'700'000'000'000; // any time in milliseconds since 1970
constexpr Millis kEntryExpiry{1500}; // from a worker's crash to the removal of its table entry
constexpr Millis kHeartbeatInterval{1500}; // from a change of a worker to its table entry at most
constexpr Millis kRestartDelay{3000}; // from a crash that a task has caused to the next worker
// Offsets from DeploymentSettings::firstPort.
constexpr int kTablePortOffset = 0;
constexpr int kHostPortOffset = 1;
constexpr int kTableProxyPortOffset = 10;
constexpr int kNodePortOffset = 20;
constexpr int kPortsPerNode = 3;
constexpr int kWorkerPortOffset = 50; // two ports per worker: proxy and server
constexpr int kPeerPortOffset = 100;
constexpr const char *kAddress = "127.0.0.1";
constexpr const char *kSparePool = "pool-spare";
constexpr Millis kWaveDuration{8000};
constexpr int kMaxHostsAtOnce = 3;
constexpr Millis kInterruptionInterval{2500};
/// How long after a fault of its connections a command to a worker may still arrive late.
constexpr Millis kLateCommandTime{5000};

CallerLimits serverLimits()
{
    CallerLimits result;
    result.bodyBytes = 2UL << 20;
    result.connections = 2000;
    return result;
}

QueueConfig makeQueue(const char *name, const char *pool)
{
    return {.name = name,
            .host = "soak.example",
            .prefix = std::string("/") + name + "/",
            .pool = PoolId(pool),
            .maxAttempts = 3,
            .stretch = 1.6,
            .allowance = Millis(600),
            .callerTimeout = Millis(3000)};
}

std::string addressAt(int port)
{
    return std::string(kAddress) + ":" + std::to_string(port);
}

} // namespace

Deployment::Deployment(boost::asio::io_context &io, const DeploymentSettings &settings,
                       InvariantChecker &checker)
    : m_io(io)
    , m_settings(settings)
    , m_checker(checker)
    , m_table(io, settings.seed)
    , m_random(settings.seed)
    , m_timer(io)
{
    const auto port = [&](int offset) {
        return static_cast<std::uint16_t>(settings.firstPort + offset);
    };
    m_tableServer = std::make_shared<CallerServer>(
        io, serverLimits(), [this](HttpRequest &request) { return m_table.handleRequest(request); },
        m_metrics);
    m_tableServer->start(kAddress, port(kTablePortOffset));
    m_config = {.version = {1},
                .queues = {makeQueue("alpha", "pool-a"), makeQueue("beta", "pool-b")},
                .pools = {{.id = PoolId("pool-a")}, {.id = PoolId("pool-b")}}};
    if (settings.hasHosts) {
        m_config.pools.push_back({.id = PoolId(kSparePool), .isSpare = true});
        serveHosts();
    }
    publishConfig();
    m_workers.resize(static_cast<std::size_t>(settings.workers));
    for (int index = 0; index < settings.workers; ++index) {
        Worker &worker = m_workers[static_cast<std::size_t>(index)];
        worker.port = port(kWorkerPortOffset + 2 * index);
        const std::uint16_t target = port(kWorkerPortOffset + 2 * index + 1);
        worker.proxy = std::make_unique<FaultProxy>(io, worker.port, target);
        worker.server = std::make_shared<CallerServer>(
            io, serverLimits(),
            [this, index](HttpRequest &request) {
                return m_workers[static_cast<std::size_t>(index)].incarnation->handleRequest(
                    request);
            },
            m_metrics);
        worker.server->start(kAddress, target);
        worker.pool = PoolId(index % 2 == 0 ? "pool-a" : "pool-b");
        startWorker(index);
    }
    for (int index = 0; index < settings.nodes; ++index) {
        Node node;
        node.tableProxy = std::make_unique<FaultProxy>(io, port(kTableProxyPortOffset + index),
                                                       port(kTablePortOffset));
        const int nodePort = port(kNodePortOffset + kPortsPerNode * index);
        const std::string name = "node-" + std::to_string(index);
        node.callerAddress = addressAt(nodePort);
        std::vector<std::string> command{settings.nodeProgram,
                                         "--id",
                                         name,
                                         "--zone",
                                         "z" + std::to_string(index % 2),
                                         "--callers",
                                         node.callerAddress,
                                         "--health",
                                         addressAt(nodePort + 1),
                                         "--metrics",
                                         addressAt(nodePort + 2),
                                         "--peers",
                                         addressAt(port(kPeerPortOffset + index)),
                                         "--table",
                                         addressAt(port(kTableProxyPortOffset + index))};
        if (settings.hasHosts)
            command.insert(command.end(), {"--hosts", addressAt(port(kHostPortOffset))});
        node.process = std::make_unique<NodeProcess>(std::move(command),
                                                     settings.logFolder + "/" + name + ".log");
        node.process->start();
        m_nodes.push_back(std::move(node));
    }
    tick();
}

Deployment::~Deployment() = default;

void Deployment::tick()
{
    for (int index = 0; index < m_settings.workers; ++index) {
        const auto &incarnation = m_workers[static_cast<std::size_t>(index)].incarnation;
        incarnation->tick();
        if (!incarnation->isCrashDue())
            continue;
        crashWorker(index);
        auto timer = std::make_shared<boost::asio::steady_timer>(m_io, kRestartDelay);
        timer->async_wait([this, timer, index](const boost::system::error_code &) {
            if (m_workers[static_cast<std::size_t>(index)].incarnation->hasTerminated())
                startWorker(index);
        });
    }
    m_timer.expires_after(kTick);
    m_timer.async_wait([this](const boost::system::error_code &failed) {
        if (!failed)
            tick();
    });
}

void Deployment::publishConfig()
{
    m_table.put(platform::kOperatorTable, platform::kConfigKey,
                platform::encodeConfiguration(m_config));
}

void Deployment::changeConfig()
{
    m_config.version.value += 3;
    for (QueueConfig &queue : m_config.queues)
        queue.callerTimeout += Millis(100);
    publishConfig();
}

void Deployment::startWorker(int index)
{
    Worker &worker = m_workers[static_cast<std::size_t>(index)];
    if (worker.isHostAway || worker.pool == PoolId(kSparePool))
        return;
    if (worker.incarnation && !worker.incarnation->hasTerminated())
        crashWorker(index); // an overlapping fault has already restarted this worker
    ++worker.incarnationCount;
    // Every second worker restarts under its previous id. A host service tells workers by their
    // ids.
    const bool keepsId = !m_hosts && index % 2 == 1;
    const std::string id = "w" + std::to_string(index)
        + (keepsId ? "" : "-" + std::to_string(worker.incarnationCount));
    const WorkerStartTime started{
        keepsId ? kFirstStartMs + static_cast<std::uint64_t>(worker.incarnationCount) : 0};
    worker.incarnation = std::make_shared<platform::StandinWorker>(m_io, id, started, m_checker);
    worker.started = started;
    worker.milliCores = kMilliCoresPerWorker;
    m_checker.onWorkerResized(id, worker.milliCores);
    publishWorker(worker, index);
    if (m_hosts)
        m_hosts->setHost(hostOf(index));
}

void Deployment::publishWorker(const Worker &worker, int index)
{
    const std::string &id = worker.incarnation->id();
    const WorkerInfo info{.id = WorkerId(id),
                          .pool = worker.pool,
                          .address = addressAt(worker.port),
                          .zone = ZoneId("z" + std::to_string(index % 2)),
                          .capacity = {.milliCores = worker.milliCores, .memoryMb = 8192},
                          .started = worker.started};
    m_table.put(platform::kWorkerTable, id, platform::encodeWorker(info));
}

void Deployment::resizeWorker(int index, std::int64_t milliCores)
{
    Worker &worker = m_workers[static_cast<std::size_t>(index)];
    if (worker.incarnation->hasTerminated())
        return;
    worker.milliCores = milliCores;
    m_checker.onWorkerResized(worker.incarnation->id(), milliCores);
    auto timer = std::make_shared<boost::asio::steady_timer>(m_io, kHeartbeatInterval);
    timer->async_wait([this, timer, index, &worker,
                       resized = worker.incarnation](const boost::system::error_code &) {
        if (worker.incarnation == resized && !resized->hasTerminated())
            publishWorker(worker, index);
    });
}

void Deployment::serveHosts()
{
    const auto indexOf = [](HostId host) { return std::stoi(host.name().substr(1)); };
    m_hosts = std::make_unique<platform::StandinHosts>(
        m_io, m_settings.seed,
        platform::StandinHosts::Events{
            .onReceived = [this](const std::string &holder) { interruptOwner(holder); },
            .onCommand = [this, indexOf](HostId host) { onHostCommand(indexOf(host)); },
            .onReady =
                [this, indexOf](HostId host, PoolId pool) {
                    Worker &worker = m_workers[static_cast<std::size_t>(indexOf(host))];
                    worker.pool = pool;
                    worker.isHostAway = false;
                    startWorker(indexOf(host));
                }});
    m_hostServer = std::make_shared<CallerServer>(
        m_io, serverLimits(),
        [this](HttpRequest &request) { return m_hosts->handleRequest(request); }, m_metrics);
    m_hostServer->start(kAddress,
                        static_cast<std::uint16_t>(m_settings.firstPort + kHostPortOffset));
    m_checker.setDelayTest(
        [this](const std::string &worker) { return mayHaveDelayedCommands(worker); });
}

HostInfo Deployment::hostOf(int index) const
{
    const Worker &worker = m_workers[static_cast<std::size_t>(index)];
    return {.id = HostId("h" + std::to_string(index)),
            .pool = worker.pool,
            .state = HostInfo::State::Ready,
            .zone = ZoneId("z" + std::to_string(index % 2)),
            .capacity = {.milliCores = kMilliCoresPerWorker, .memoryMb = 8192},
            .worker = WorkerId(worker.incarnation->id())};
}

void Deployment::onHostCommand(int index)
{
    Worker &worker = m_workers[static_cast<std::size_t>(index)];
    worker.isHostAway = true;
    if (worker.incarnation->hasTerminated())
        return;
    m_checker.onHostCommand(worker.incarnation->id());
    crashWorker(index);
}

void Deployment::interruptOwner(const std::string &node)
{
    const Instant now = monotonicNow();
    if (now < m_nextInterruption || m_random() % 3 != 0)
        return;
    m_nextInterruption = now + kInterruptionInterval;
    const auto index = static_cast<std::size_t>(std::stoi(node.substr(node.find('-') + 1)));
    m_nodes[index].process->signal(m_random() % 2 == 0 ? SIGTERM : SIGKILL);
    auto timer = std::make_shared<boost::asio::steady_timer>(m_io, kInterruptionInterval);
    timer->async_wait([this, timer](const boost::system::error_code &) { restartNodes(); });
}

bool Deployment::mayHaveDelayedCommands(const std::string &worker) const
{
    return std::any_of(m_workers.begin(), m_workers.end(), [&](const Worker &known) {
        return known.incarnation->id() == worker
            && known.proxy->isDisturbedSince(monotonicNow() - kLateCommandTime);
    });
}

void Deployment::startWave()
{
    Wave wave{.number = ++m_lastWave, .duration = kWaveDuration, .maxAtOnce = kMaxHostsAtOnce};
    for (int index = 0; index < m_settings.workers; ++index)
        wave.hosts.push_back(hostOf(index).id);
    m_table.put(platform::kOperatorTable, "wave/" + std::to_string(wave.number),
                platform::encodeWave(wave));
}

void Deployment::crashWorker(int index)
{
    Worker &worker = m_workers[static_cast<std::size_t>(index)];
    if (worker.incarnation->hasTerminated())
        return;
    for (const auto &[task, run] : worker.incarnation->running()) {
        if (!worker.isHostAway)
            m_checker.onWorkerCrashed(task);
    }
    worker.incarnation->crash();
    worker.proxy->resetConnections();
    m_endedIncarnations.push_back(worker.incarnation);
    auto timer = std::make_shared<boost::asio::steady_timer>(m_io, kEntryExpiry);
    timer->async_wait(
        [this, timer, &worker, ended = worker.incarnation](const boost::system::error_code &) {
            if (worker.incarnation == ended || worker.incarnation->id() != ended->id())
                m_table.remove(platform::kWorkerTable, ended->id());
        });
}

void Deployment::writeDamagedRows()
{
    constexpr std::size_t kDepth = 20000; // a row holds 64 KB
    const std::string nested = std::string(kDepth, '[') + std::string(kDepth, ']');
    const std::string begin = R"({"service":"pool-0","zone":"z","state":"ready","address":")";
    m_table.put(platform::kWorkerTable, "w-damaged", "{\"state\":7,\"address\":[]");
    m_table.put(platform::kWorkerTable, "w-nested",
                begin + R"(127.0.0.1:80","capacity":{"cpu":1},"labels":)" + nested + "}");
    m_table.put(platform::kWorkerTable, "w-huge",
                begin + R"(127.0.0.1:80","capacity":{"cpu":1e400}})");
    m_table.put(platform::kWorkerTable, "w-port",
                begin + R"(127.0.0.1:65536","capacity":{"cpu":1}})");
}

bool Deployment::restartNodes()
{
    bool hasCrashed = false;
    for (Node &node : m_nodes) {
        if (node.process->isRunning())
            continue;
        hasCrashed = hasCrashed || node.process->hasCrashed();
        node.process->start();
    }
    return hasCrashed;
}

} // namespace oleanderhall::soak
