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

/// How an instance misbehaves.
enum class InstanceFault {
    None,
    Silent, ///< Reads requests and answers nothing.
    Slow, ///< Takes a second longer.
    TruncateResponse, ///< Runs the request, then cuts the answer in the middle.
    CloseUnprocessed, ///< Closes the connection after reading the request, without running it.
    ImmediateError, ///< Answers 500 at once.
};

/// Where an instance listens and how much it takes.
struct InstanceSettings
{
    std::string host;
    std::string service;
    std::string address;
    std::uint16_t port = 0;
    int slots = 8;
    int connections = 64;
};

/// An Instance is one upstream: an HTTP server that runs requests in a few slots and refuses with
/// 503 when none is free. The header X-Work-Ms says how long a request works.
class Instance : public std::enable_shared_from_this<Instance>
{
public:
    using Socket = boost::asio::ip::tcp::socket;

    Instance(boost::asio::io_context &io, InstanceSettings settings, ExecutionLog &log);

    /// Starts to listen. Throws when the address is taken.
    void start();
    /// Stops to listen; requests in flight are finished and answered.
    void stopGracefully();
    /// Drops everything at once.
    void kill();
    /// Returns whether a graceful stop has ended.
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
