#pragma once

#include "deployment.h"
#include "invariantchecker.h"

#include "../src/http/httpclient.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace oleanderhall::soak {

/// Internal: simulated callers that submit jobs to random nodes, poll their states and cancel some
/// of them. Connections stay open until the node closes them.
class Callers
{
public:
    Callers(boost::asio::io_context &io, Deployment &deployment, InvariantChecker &checker,
            std::uint32_t seed);

    /// Submits `perSecond` jobs per second on average for `duration`. Each job has a caller of its
    /// own, which polls the job until it is finished.
    void start(double perSecond, Millis duration);
    /// Submits long-running jobs with disruption budgets to each queue and cancels them after
    /// `duration`.
    void startLongRunningJobs(Millis duration);
    /// Submits `count` jobs whose task crashes each worker that starts it, spread over `duration`.
    void startCrashingJobs(int count, Millis duration);
    /// Returns whether jobs are still submitted or followed.
    bool isAnyActive() const { return m_active > 0; }
    /// Returns how many jobs a node accepted.
    std::size_t accepted() const { return m_accepted; }
    /// Returns how many jobs were certainly not accepted.
    std::size_t refused() const { return m_refused; }
    /// Returns how many jobs may have been stored although no node confirmed it.
    std::size_t unknown() const { return m_unknown; }

private:
    boost::asio::awaitable<void> generateJobs(double perSecond, Millis duration);
    boost::asio::awaitable<void> runCaller(JobSpec job, Millis delay = Millis(0));
    boost::asio::awaitable<void> cancel(const JobSpec &job);
    boost::asio::awaitable<void> awaitEnd(const JobSpec &job);
    boost::asio::awaitable<bool> submit(const JobSpec &job);
    boost::asio::awaitable<HttpResult> call(const std::string &method, const JobSpec &job,
                                            std::string body);
    boost::asio::awaitable<void> wait(Millis duration);
    JobSpec makeJob();

    boost::asio::io_context &m_io;
    Deployment &m_deployment;
    InvariantChecker &m_checker;
    std::mt19937 m_random;
    std::map<std::string, std::shared_ptr<HttpClient>> m_clients; ///< Keyed by node address.
    Millis m_longRunningTime{0}; ///< After which callers cancel long-running jobs.
    int m_active = 0; ///< Coroutines that submit or follow jobs.
    std::size_t m_accepted = 0;
    std::size_t m_refused = 0;
    std::size_t m_unknown = 0;
};

} // namespace oleanderhall::soak
