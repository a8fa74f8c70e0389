#include "faults.h"

#include <boost/asio/steady_timer.hpp>

#include <csignal>

namespace oleanderhall::soak {

namespace {

constexpr int kShortestFault = 200; // ms
constexpr int kLongestFault = 5000; // ms; past the owner's lease and a task's
constexpr double kLostShare = 0.3; // of transactions

} // namespace

Faults::Faults(boost::asio::io_context &io, Deployment &deployment, std::uint32_t seed)
    : m_io(io)
    , m_deployment(deployment)
    , m_random(seed)
{}

void Faults::at(Millis time, const std::string &what, Action action)
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

void Faults::plan(int count, Millis from, Millis to)
{
    const auto span = static_cast<unsigned>((to - from).count());
    for (int fault = 0; fault < count; ++fault) {
        const Millis begin = from + Millis(static_cast<int>(m_random() % span));
        Millis length(kShortestFault
                      + static_cast<int>(m_random() % (kLongestFault - kShortestFault)));
        length = std::min(length, std::max(to - begin, Millis(kShortestFault)));
        switch (m_random() % 4) {
        case 0:
            planNodeFault(begin, length);
            break;
        case 1:
            planTableFault(begin, length);
            break;
        case 2:
            planLinkFault(begin, length);
            break;
        default:
            planWorkerFault(begin, length);
            break;
        }
    }
}

void Faults::planNodeFault(Millis begin, Millis length)
{
    const auto index = m_random() % m_deployment.nodes().size();
    const std::string name = "node " + std::to_string(index);
    const auto signal = [this, index](int number) {
        return [this, index, number] { m_deployment.nodes()[index].process->signal(number); };
    };
    switch (m_random() % 3) {
    case 0:
        at(begin, name + " killed", signal(SIGKILL));
        break;
    case 1:
        at(begin, name + " told to stop", signal(SIGTERM));
        break;
    default:
        at(begin, name + " paused", signal(SIGSTOP));
        at(begin + length, name + " goes on", signal(SIGCONT));
        return;
    }
    at(begin + length, "ended nodes started", [this] { m_deployment.restartNodes(); });
}

void Faults::planTableFault(Millis begin, Millis length)
{
    platform::TableFault fault;
    std::string what = "table ";
    switch (m_random() % 6) {
    case 0:
        fault.isUnavailable = true;
        what += "down";
        break;
    case 1:
        fault.lostResponseShare = kLostShare;
        what += "loses answers";
        break;
    case 2:
        fault.delayedEffectShare = kLostShare;
        what += "works late";
        break;
    case 3:
        fault.delay = Millis(100 + static_cast<int>(m_random() % 300));
        what += "slow";
        break;
    case 4:
        at(begin, "table forgets its history", [this] { m_deployment.table().discardHistory(); });
        return;
    default:
        at(begin, "configuration changes, a damaged row", [this] {
            m_deployment.changeConfig();
            m_deployment.writeDamagedRow();
        });
        return;
    }
    at(begin, what, [this, fault] { m_deployment.table().setFault(fault); });
    at(begin + length, "table mended", [this] { m_deployment.table().setFault({}); });
}

void Faults::planLinkFault(Millis begin, Millis length)
{
    const bool isNode = m_random() % 2 == 0;
    const auto index = m_random()
        % (isNode ? m_deployment.nodes().size() : m_deployment.workers().size());
    const std::string name = (isNode ? "link of node " : "link to worker ") + std::to_string(index);
    const auto proxy = [this, isNode, index]() -> FaultProxy & {
        return isNode ? *m_deployment.nodes()[index].table : *m_deployment.workers()[index].proxy;
    };
    const auto setMode = [&](FaultProxy::Mode mode, const char *what) {
        at(begin, name + what, [proxy, mode] { proxy().setMode(mode); });
        at(begin + length, name + " mended", [proxy] { proxy().setMode(FaultProxy::Mode::Pass); });
    };
    switch (m_random() % 5) {
    case 0:
        setMode(FaultProxy::Mode::Silent, " silent");
        break;
    case 1:
        setMode(FaultProxy::Mode::AnswersLost, " loses answers");
        break;
    case 2:
        setMode(FaultProxy::Mode::Refuse, " refuses, and resets what is open");
        at(begin, name + " reset", [proxy] { proxy().reset(); });
        break;
    case 3:
        at(begin, name + " reset", [proxy] { proxy().reset(); });
        break;
    default: {
        const Millis delay(50 + static_cast<int>(m_random() % 600));
        at(begin, name + " slow", [proxy, delay] { proxy().setDelay(delay); });
        at(begin + length, name + " fast again", [proxy] { proxy().setDelay(Millis(0)); });
        break;
    }
    }
}

void Faults::planWorkerFault(Millis begin, Millis length)
{
    const auto index = static_cast<int>(m_random() % m_deployment.workers().size());
    const std::string name = "worker " + std::to_string(index);
    at(begin, name + " crashes", [this, index] { m_deployment.crashWorker(index); });
    at(begin + length, name + " begins a new life",
       [this, index] { m_deployment.startWorker(index); });
}

void Faults::mendAll()
{
    m_deployment.table().setFault({});
    for (Deployment::Node &node : m_deployment.nodes()) {
        node.table->setMode(FaultProxy::Mode::Pass);
        node.table->setDelay(Millis(0));
        node.process->signal(SIGCONT);
    }
    for (Deployment::Worker &worker : m_deployment.workers()) {
        worker.proxy->setMode(FaultProxy::Mode::Pass);
        worker.proxy->setDelay(Millis(0));
    }
}

} // namespace oleanderhall::soak
