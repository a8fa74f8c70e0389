#pragma once

#include "faultproxy.h"
#include "invariantchecker.h"
#include "nodeprocess.h"

#include "../platform/standin/standintable.h"
#include "../platform/standin/standinworker.h"
#include "../src/daemon/metrics.h"
#include "../src/http/callerserver.h"

#include "oleanderhall/jobs/fleetconfig.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace oleanderhall::soak {

/// Internal: where a deployment lies on this machine, and how large it is.
struct DeploymentSettings
{
    std::string nodeProgram; ///< The program of the fleet nodes.
    std::string logFolder; ///< The folder for their logs.
    std::uint16_t firstPort = 23000; ///< Of about a hundred that follow one another.
    int nodes = 4;
    int workers = 8;
    std::uint32_t seed = 1;
};

/// Internal: one deployment: fleet nodes as processes of their own, and in this process the table
/// and the workers that they use, each behind a FaultProxy. One thread.
class Deployment
{
public:
    Deployment(boost::asio::io_context &io, const DeploymentSettings &settings,
               InvariantChecker &promises);
    ~Deployment();

    struct Node
    {
        std::unique_ptr<NodeProcess> process;
        std::unique_ptr<FaultProxy> tableProxy; ///< Between the node and the table.
        std::string callerAddress; ///< IP:PORT.
    };
    struct Worker
    {
        std::shared_ptr<platform::StandinWorker> incarnation;
        std::shared_ptr<CallerServer> server;
        std::unique_ptr<FaultProxy> proxy;
        std::uint16_t port = 0; ///< Of the proxy.
        int incarnationCount = 0;
    };

    std::vector<Node> &nodes() { return m_nodes; }
    std::vector<Worker> &workers() { return m_workers; }
    platform::StandinTable &table() { return m_table; }
    const FleetConfig &config() const { return m_config; }
    /// The operators' next version: the last with another limit of time.
    void changeConfig();
    /// Ends a worker and everything on it; its entry vanishes after a while.
    void crashWorker(int index);
    /// Begins a worker's next life under a new id.
    void startWorker(int index);
    /// A row of another writer that no worker wrote.
    void writeDamagedRow();
    /// Starts the nodes that have ended. Returns whether one ended by itself.
    bool restartNodes();

private:
    void tick();
    void publishConfig();

    boost::asio::io_context &m_io;
    DeploymentSettings m_settings;
    InvariantChecker &m_checker;
    Metrics m_metrics;
    platform::StandinTable m_table;
    std::shared_ptr<CallerServer> m_tableServer;
    std::vector<Node> m_nodes;
    std::vector<Worker> m_workers;
    /// Ended lives: coroutines may still answer for them.
    std::vector<std::shared_ptr<platform::StandinWorker>> m_endedIncarnations;
    FleetConfig m_config;
    boost::asio::steady_timer m_timer;
};

} // namespace oleanderhall::soak
