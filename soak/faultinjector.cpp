#include "faultinjector.h"

#include <boost/asio/steady_timer.hpp>

#include <csignal>

namespace oleanderhall::soak {

namespace {

constexpr int kMinFaultMs = 200;
constexpr int kMaxFaultMs = 5000; // longer than the leases of the owner and of tasks
constexpr unsigned kMaxMilliCoresLeft = 4000; // after a worker has shrunk
constexpr double kFaultyShare = 0.3; // share of transactions that a table fault hits

} // namespace

FaultInjector::FaultInjector(boost::asio::io_context &io, Deployment &deployment,
                             std::uint32_t seed)
    : m_io(io)
    , m_deployment(deployment)
    , m_random(seed)
{}

void FaultInjector::schedule(Millis time, const std::string &what, Action action)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(m_io, time);
    timer->async_wait([this, timer, time, what,
                       action = std::move(action)](const boost::system::error_code &failed) {
        if (failed)
            return;
        m_history.push_back(std::to_string(time.count()) + " " + what);
        action();
    });
}

void FaultInjector::plan(int count, Millis from, Millis to)
{
    const auto span = static_cast<unsigned>((to - from).count());
    for (int fault = 0; fault < count; ++fault) {
        const Millis begin = from + Millis(static_cast<int>(m_random() % span));
        Millis length(kMinFaultMs + static_cast<int>(m_random() % (kMaxFaultMs - kMinFaultMs)));
        length = std::min(length, std::max(to - begin, Millis(kMinFaultMs)));
        switch (m_random() % 4) {
        case 0:
            planNodeFault(begin, length);
            break;
        case 1:
            planTableFault(begin, length);
            break;
        case 2:
            planConnectionFault(begin, length);
            break;
        default:
            planWorkerFault(begin, length);
            break;
        }
    }
}

void FaultInjector::planNodeFault(Millis begin, Millis length)
{
    const auto index = m_random() % m_deployment.nodes().size();
    const std::string name = "node " + std::to_string(index);
    const auto signal = [this, index](int number) {
        return [this, index, number] { m_deployment.nodes()[index].process->signal(number); };
    };
    switch (m_random() % 3) {
    case 0:
        schedule(begin, name + " killed", signal(SIGKILL));
        break;
    case 1:
        schedule(begin, name + " told to stop", signal(SIGTERM));
        break;
    default:
        schedule(begin, name + " paused", signal(SIGSTOP));
        schedule(begin + length, name + " resumed", signal(SIGCONT));
        return;
    }
    schedule(begin + length, "terminated nodes restarted", [this] { m_deployment.restartNodes(); });
}

void FaultInjector::planTableFault(Millis begin, Millis length)
{
    platform::TableFault fault;
    std::string what = "table ";
    switch (m_random() % 6) {
    case 0:
        fault.isUnavailable = true;
        what += "down";
        break;
    case 1:
        fault.lostResponseShare = kFaultyShare;
        what += "loses answers";
        break;
    case 2:
        fault.delayedEffectShare = kFaultyShare;
        what += "works late";
        break;
    case 3:
        fault.delay = Millis(100 + static_cast<int>(m_random() % 300));
        what += "slow";
        break;
    case 4:
        schedule(begin, "table discards its change history",
                 [this] { m_deployment.table().discardHistory(); });
        return;
    default:
        schedule(begin, "configuration changed, unreadable worker row written", [this] {
            m_deployment.changeConfig();
            m_deployment.writeDamagedRows();
        });
        return;
    }
    schedule(begin, what, [this, fault] { m_deployment.table().setFault(fault); });
    schedule(begin + length, "table fault ended", [this] { m_deployment.table().setFault({}); });
}

void FaultInjector::planConnectionFault(Millis begin, Millis length)
{
    const bool isNode = m_random() % 2 == 0;
    const auto index = m_random()
        % (isNode ? m_deployment.nodes().size() : m_deployment.workers().size());
    const std::string name = (isNode ? "connection of node " : "connection to worker ")
        + std::to_string(index);
    const auto proxy = [this, isNode, index]() -> FaultProxy & {
        return isNode ? *m_deployment.nodes()[index].tableProxy
                      : *m_deployment.workers()[index].proxy;
    };
    const auto setMode = [&](FaultProxy::Mode mode, const char *what) {
        schedule(begin, name + what, [proxy, mode] { proxy().setMode(mode); });
        schedule(begin + length, name + " fault ended",
                 [proxy] { proxy().setMode(FaultProxy::Mode::Pass); });
    };
    switch (m_random() % 5) {
    case 0:
        setMode(FaultProxy::Mode::Stall, " stalled");
        break;
    case 1:
        setMode(FaultProxy::Mode::LoseResponses, " loses answers");
        break;
    case 2:
        setMode(FaultProxy::Mode::Refuse, " refuses new connections");
        schedule(begin, name + " reset", [proxy] { proxy().resetConnections(); });
        break;
    case 3:
        schedule(begin, name + " reset", [proxy] { proxy().resetConnections(); });
        break;
    default: {
        const Millis delay(50 + static_cast<int>(m_random() % 600));
        schedule(begin, name + " slow", [proxy, delay] { proxy().setDelay(delay); });
        schedule(begin + length, name + " delay ended", [proxy] { proxy().setDelay(Millis(0)); });
        break;
    }
    }
}

void FaultInjector::planWorkerFault(Millis begin, Millis length)
{
    const auto index = static_cast<int>(m_random() % m_deployment.workers().size());
    const std::string name = "worker " + std::to_string(index);
    if (m_random() % 2 == 0) {
        const auto left = static_cast<std::int64_t>(m_random() % kMaxMilliCoresLeft);
        const auto resize = [this, index](std::int64_t milliCores) {
            return [this, index, milliCores] { m_deployment.resizeWorker(index, milliCores); };
        };
        schedule(begin, name + " shrinks to " + std::to_string(left), resize(left));
        schedule(begin + length, name + " grows", resize(Deployment::kMilliCoresPerWorker));
        return;
    }
    schedule(begin, name + " crashes", [this, index] { m_deployment.crashWorker(index); });
    schedule(begin + length, name + " restarts",
             [this, index] { m_deployment.startWorker(index); });
}

void FaultInjector::clearAll()
{
    m_deployment.table().setFault({});
    for (Deployment::Node &node : m_deployment.nodes()) {
        node.tableProxy->setMode(FaultProxy::Mode::Pass);
        node.tableProxy->setDelay(Millis(0));
        node.process->signal(SIGCONT);
    }
    for (Deployment::Worker &worker : m_deployment.workers()) {
        worker.proxy->setMode(FaultProxy::Mode::Pass);
        worker.proxy->setDelay(Millis(0));
    }
}

} // namespace oleanderhall::soak
