#pragma once

#include "deployment.h"

#include <boost/asio/io_context.hpp>

#include <random>
#include <string>
#include <vector>

namespace oleanderhall::soak {

/// Internal: injects a random sequence of faults, which the seed determines. Faults may overlap.
class FaultInjector
{
public:
    FaultInjector(boost::asio::io_context &io, Deployment &deployment, std::uint32_t seed);

    /// Schedules `count` faults that begin at random times between `from` and `to`, counted from
    /// now. Each ends by `to`, unless it would then last less than 200 ms.
    void plan(int count, Millis from, Millis to);
    /// Ends the faults of the table and the proxies and resumes paused nodes. Neither nodes nor
    /// workers that have terminated are restarted.
    void clearAll();
    /// Returns the beginnings and ends of the faults in the order in which they took effect, each
    /// with its scheduled time in ms.
    const std::vector<std::string> &history() const { return m_history; }

    using Action = std::function<void()>;
    /// Schedules an action of the caller's own, to be listed in the history.
    void schedule(Millis time, const std::string &what, Action action);

private:
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
