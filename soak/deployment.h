#pragma once

#include "faultproxy.h"
#include "invariantchecker.h"
#include "nodeprocess.h"

#include "../platform/standin/standinhosts.h"
#include "../platform/standin/standintable.h"
#include "../platform/standin/standinworker.h"
#include "../src/daemon/metrics.h"
#include "../src/http/callerserver.h"

#include "oleanderhall/jobs/fleetconfig.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace oleanderhall::soak {

/// Internal: programs, folders, ports and size of a deployment on this machine.
struct DeploymentSettings
{
    std::string nodeProgram; ///< Path of the fleet node's executable.
    std::string logFolder; ///< Folder for the nodes' logs.
    std::uint16_t firstPort = 23000; ///< First of 110 consecutive ports.
    int nodes = 4;
    int workers = 8;
    /// Each worker runs on a host of its own, which the nodes move and maintain in waves.
    bool hasHosts = false;
    std::uint32_t seed = 1;
};

/// Internal: fleet nodes as separate processes, with the table and the workers that they use in
/// this process. Each node's connection to the table and each worker is behind a FaultProxy.
/// Single-threaded.
class Deployment
{
public:
    Deployment(boost::asio::io_context &io, const DeploymentSettings &settings,
               InvariantChecker &checker);
    ~Deployment();

    static constexpr std::int64_t kMilliCoresPerWorker = 8000; ///< When it starts.

    struct Node
    {
        std::unique_ptr<NodeProcess> process;
        std::unique_ptr<FaultProxy> tableProxy; ///< Proxy between the node and the table.
        std::string callerAddress; ///< IP:PORT of the node's listener for callers.
    };
    struct Worker
    {
        std::shared_ptr<platform::StandinWorker> incarnation;
        std::shared_ptr<CallerServer> server;
        std::unique_ptr<FaultProxy> proxy;
        std::uint16_t port = 0; ///< Port of the proxy, which the nodes connect to.
        int incarnationCount = 0;
        PoolId pool;
        std::int64_t milliCores = 0; ///< Its capacity.
        WorkerStartTime started; ///< Of its incarnation; 0 if that is not reported.
        bool isHostAway = false; ///< Its host is moved or maintained.
    };

    std::vector<Node> &nodes() { return m_nodes; }
    std::vector<Worker> &workers() { return m_workers; }
    platform::StandinTable &table() { return m_table; }
    const FleetConfig &config() const { return m_config; }
    /// Publishes a new configuration version with longer request time limits.
    void changeConfig();
    /// Requests a maintenance wave over all hosts.
    void startWave();
    /// Terminates a worker and its runs. Its entry is removed from the worker table after 1.5 s.
    void crashWorker(int index);
    /// Starts a new incarnation of a worker under a new id; terminates a running one first. Does
    /// nothing while the worker's host is moved or maintained, or is a spare.
    void startWorker(int index);
    /// Changes the capacity of a running worker. Its entry shows it after one heartbeat.
    void resizeWorker(int index, std::int64_t milliCores);
    /// Writes rows to the worker table from which no worker can be read.
    void writeDamagedRows();
    /// Restarts the nodes that have terminated. Returns whether one terminated without a signal
    /// from this process.
    bool restartNodes();

private:
    void tick();
    void publishConfig();
    void publishWorker(const Worker &worker, int index);
    void serveHosts();
    void onHostCommand(int index);
    /// Now and then stops or kills the node that has just sent a command to a host, so that the
    /// command is carried out under the next owner.
    void interruptOwner(const std::string &node);
    HostInfo hostOf(int index) const;
    /// Returns whether a fault may have delayed a command to the worker process.
    bool mayHaveDelayedCommands(const std::string &worker) const;

    boost::asio::io_context &m_io;
    DeploymentSettings m_settings;
    InvariantChecker &m_checker;
    Metrics m_metrics;
    platform::StandinTable m_table;
    std::shared_ptr<CallerServer> m_tableServer;
    std::unique_ptr<platform::StandinHosts> m_hosts;
    std::shared_ptr<CallerServer> m_hostServer;
    std::int64_t m_lastWave = 0;
    std::mt19937 m_random;
    Instant m_nextInterruption{};
    std::vector<Node> m_nodes;
    std::vector<Worker> m_workers;
    /// Terminated incarnations, kept because coroutines may still use them.
    std::vector<std::shared_ptr<platform::StandinWorker>> m_endedIncarnations;
    FleetConfig m_config;
    boost::asio::steady_timer m_timer;
};

} // namespace oleanderhall::soak
