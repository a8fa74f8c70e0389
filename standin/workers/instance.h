#pragma once

#include "executionlog.h"

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <memory>
#include <mutex>
#include <set>
#include <string>

namespace standin {

/// A fault that an instance injects into its requests.
enum class InstanceFault {
    None,
    Silent, ///< Reads the request and closes the connection after 60 s.
    Slow, ///< Executes the request one second longer.
    TruncateResponse, ///< Executes the request, then closes the connection within the response.
    CloseUnprocessed, ///< Reads the request, then closes the connection without executing it.
    ImmediateError, ///< Responds with 500 at once, without executing the request.
};

/// Identity, address and limits of an instance.
struct InstanceSettings
{
    std::string host;
    std::string service;
    std::string address;
    std::uint16_t port = 0;
    int slots = 8; ///< Maximum number of concurrent requests.
    int connections = 64; ///< Maximum number of open connections; further ones are closed.
};

/// An Instance is one upstream: an HTTP server that executes a limited number of requests at once
/// and refuses further ones with 503. The request header X-Work-Ms sets the processing time;
/// without it, a request takes 5 ms.
class Instance : public std::enable_shared_from_this<Instance>
{
public:
    using Socket = boost::asio::ip::tcp::socket;

    Instance(boost::asio::io_context &io, InstanceSettings settings, ExecutionLog &log);

    /// Starts to listen. Throws when the address is in use.
    void start();
    /// Stops listening and closes idle connections. Requests in flight are finished and get their
    /// responses.
    void stopGracefully();
    /// Stops listening and closes all connections at once, without responses.
    void kill();
    /// Returns whether no connection is open, which ends a graceful stop.
    bool isIdle() const { return m_connectionCount == 0; }
    void setFault(InstanceFault fault) { m_fault = fault; }
    const InstanceSettings &settings() const { return m_settings; }

private:
    struct Connection;

    boost::asio::awaitable<void> acceptLoop();
    boost::asio::awaitable<void> serve(std::shared_ptr<Connection> connection);
    boost::asio::awaitable<bool> serveOne(std::shared_ptr<Connection> connection);

    boost::asio::io_context &m_io;
    InstanceSettings m_settings;
    ExecutionLog &m_log;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::mutex m_mutex;
    std::set<std::shared_ptr<Connection>> m_connections;
    std::atomic<int> m_connectionCount{0};
    std::atomic<int> m_requestsInFlight{0};
    std::atomic<bool> m_isStopping{false};
    std::atomic<bool> m_isKilled{false};
    std::atomic<InstanceFault> m_fault{InstanceFault::None};
};

} // namespace standin
