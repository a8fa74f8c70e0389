#include "deployment.h"

#include "../platform/standin/standinrows.h"
#include "../platform/tablenames.h"

#include <chrono>

namespace oleanderhall::soak {

namespace {

constexpr Millis kTick{10};
constexpr Millis kEntryExpiry{1500}; // from a worker's crash to the removal of its table entry
// Offsets from DeploymentSettings::firstPort.
constexpr int kTablePortOffset = 0;
constexpr int kTableProxyPortOffset = 10;
constexpr int kNodePortOffset = 20;
constexpr int kPortsPerNode = 3;
constexpr int kWorkerPortOffset = 50; // two ports per worker: proxy and server
constexpr const char *kAddress = "127.0.0.1";

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
        startWorker(index);
    }
    for (int index = 0; index < settings.nodes; ++index) {
        Node node;
        node.tableProxy = std::make_unique<FaultProxy>(io, port(kTableProxyPortOffset + index),
                                                       port(kTablePortOffset));
        const int nodePort = port(kNodePortOffset + kPortsPerNode * index);
        const std::string name = "node-" + std::to_string(index);
        node.callerAddress = addressAt(nodePort);
        node.process = std::make_unique<NodeProcess>(
            std::vector<std::string>{
                settings.nodeProgram, "--id", name, "--zone", "z" + std::to_string(index % 2),
                "--callers", node.callerAddress, "--health", addressAt(nodePort + 1), "--metrics",
                addressAt(nodePort + 2), "--table", addressAt(port(kTableProxyPortOffset + index))},
            settings.logFolder + "/" + name + ".log");
        node.process->start();
        m_nodes.push_back(std::move(node));
    }
    tick();
}

Deployment::~Deployment() = default;

void Deployment::tick()
{
    for (Worker &worker : m_workers)
        worker.incarnation->tick();
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
    if (worker.incarnation && !worker.incarnation->hasTerminated())
        crashWorker(index); // an overlapping fault has already restarted this worker
    ++worker.incarnationCount;
    const std::string id = "w" + std::to_string(index) + "-"
        + std::to_string(worker.incarnationCount);
    worker.incarnation = std::make_shared<platform::StandinWorker>(m_io, id, m_checker);
    const WorkerInfo info{.id = WorkerId(id),
                          .pool = PoolId(index % 2 == 0 ? "pool-a" : "pool-b"),
                          .address = addressAt(worker.port),
                          .zone = ZoneId("z" + std::to_string(index % 2)),
                          .capacity = {.milliCores = 8000, .memoryMb = 8192}};
    m_table.put(platform::kWorkerTable, id, platform::encodeWorker(info));
}

void Deployment::crashWorker(int index)
{
    Worker &worker = m_workers[static_cast<std::size_t>(index)];
    if (worker.incarnation->hasTerminated())
        return;
    worker.incarnation->crash();
    worker.proxy->resetConnections();
    m_endedIncarnations.push_back(worker.incarnation);
    auto timer = std::make_shared<boost::asio::steady_timer>(m_io, kEntryExpiry);
    timer->async_wait(
        [this, timer, id = worker.incarnation->id()](const boost::system::error_code &) {
            m_table.remove(platform::kWorkerTable, id);
        });
}

void Deployment::writeDamagedRow()
{
    m_table.put(platform::kWorkerTable, "w-damaged", "{\"state\":7,\"address\":[]");
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
