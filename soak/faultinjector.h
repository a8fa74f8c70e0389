#pragma once

#include "deployment.h"

#include <boost/asio/io_context.hpp>

#include <random>
#include <string>
#include <vector>

namespace oleanderhall::soak {

/// Internal: a series of faults that a seed determines; they come in a row and overlap.
class FaultInjector
{
public:
    FaultInjector(boost::asio::io_context &io, Deployment &deployment, std::uint32_t seed);

    /// Plans `count` faults between `from` and `to` from now; each is over by then.
    void plan(int count, Millis from, Millis to);
    /// Ends every fault: the table, the proxies and the processes are as at the start.
    void clearAll();
    /// Returns what was done, with the time of each in ms.
    const std::vector<std::string> &history() const { return m_history; }

private:
    using Action = std::function<void()>;

    void schedule(Millis time, const std::string &what, Action action);
    void planNodeFault(Millis begin, Millis length);
    void planTableFault(Millis begin, Millis length);
    void planConnectionFault(Millis begin, Millis length);
    void planWorkerFault(Millis begin, Millis length);

    boost::asio::io_context &m_io;
    Deployment &m_deployment;
    std::mt19937 m_random;
    std::vector<std::string> m_history;
};

} // namespace oleanderhall::soak
