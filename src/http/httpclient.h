#pragma once

#include <utility>

#include "call.h"

#include "oleanderhall/core/time.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace oleanderhall {

/// Internal: one request to a server.
struct HttpCall
{
    std::string method;
    std::string target;
    HeaderList headers;
    std::string body;
    Millis timeout{1000};
    /// The call may be sent again on a new connection when a kept one turns out to be closed.
    bool isRetryable = false;
};

/// Internal: what came of an HttpCall.
struct HttpResult
{
    enum class Outcome {
        Responded,
        NotSent, ///< No connection: the server has seen nothing.
        Unknown, ///< Sent at least in part, and not answered in time.
    };
    Outcome outcome = Outcome::Unknown;
    int status = 0;
    std::string body;
    Instant sent; ///< When the call was handed over.
};

/// Internal: an HTTP/1.1 client for one server. It keeps connections open, sends one request at a
/// time on each and queues what exceeds them. A connection that timed out is not used again. It
/// belongs to one thread's io_context.
class HttpClient : public std::enable_shared_from_this<HttpClient>
{
public:
    using Callback = std::function<void(HttpResult)>;

    HttpClient(boost::asio::io_context &io, const std::string &address, std::size_t connections);
    ~HttpClient();

    /// Calls `done` exactly once, never before send() returns.
    void send(HttpCall call, Callback done);
    /// Closes all connections; what is under way ends as Unknown or NotSent.
    void close();
    /// Returns how many connections were opened so far.
    std::uint64_t connectionsOpened() const { return m_connectionsOpened; }

private:
    struct Connection;
    struct Pending
    {
        HttpCall call;
        Callback done;
        Instant sent;
        bool isRetry = false;
    };

    void dispatchQueued();
    void connect(const std::shared_ptr<Connection> &connection);
    void write(const std::shared_ptr<Connection> &connection);
    void finish(const std::shared_ptr<Connection> &connection, HttpResult answer, bool keep);
    void retire(const std::shared_ptr<Connection> &connection);

    boost::asio::io_context &m_io;
    boost::asio::ip::tcp::endpoint m_endpoint;
    std::string m_host;
    std::size_t m_maxConnections;
    std::deque<Pending> m_queue;
    std::vector<std::shared_ptr<Connection>> m_connections;
    std::uint64_t m_connectionsOpened = 0;
};

} // namespace oleanderhall
