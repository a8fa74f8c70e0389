#pragma once

#include "deployment.h"
#include "promises.h"

#include "../src/http/httpclient.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace oleanderhall::soak {

/// Internal: callers that hand jobs in at any node, ask for their states and cancel some. They
/// keep their connections until the node closes them.
class Callers
{
public:
    Callers(boost::asio::io_context &io, Deployment &deployment, Promises &promises,
            std::uint32_t seed);

    /// Hands in `perSecond` jobs a second for `time`, each with its own caller until it is over.
    void start(double perSecond, Millis time);
    std::size_t accepted() const { return m_accepted; }
    std::size_t refused() const { return m_refused; }
    std::size_t unknown() const { return m_unknown; }

private:
    boost::asio::awaitable<void> arrive(double perSecond, Millis time);
    boost::asio::awaitable<void> live(JobSpec job);
    boost::asio::awaitable<bool> submit(const JobSpec &job);
    boost::asio::awaitable<HttpResult> call(const std::string &method, const JobSpec &job,
                                            std::string body);
    boost::asio::awaitable<void> wait(Millis time);
    JobSpec makeJob();

    boost::asio::io_context &m_io;
    Deployment &m_deployment;
    Promises &m_promises;
    std::mt19937 m_random;
    std::map<std::string, std::shared_ptr<HttpClient>> m_clients; ///< By the node's address.
    std::size_t m_accepted = 0;
    std::size_t m_refused = 0;
    std::size_t m_unknown = 0;
};

} // namespace oleanderhall::soak
