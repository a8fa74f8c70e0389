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

class CallDeadlines;

/// Internal: a request of an HttpClient.
struct HttpCall
{
    std::string method;
    std::string target;
    HeaderList headers;
    std::string body;
    Millis timeout{1000}; ///< From send() to the end of the response.
    /// If a reused connection fails, the call may be sent a second time, on another connection.
    bool isRetryable = false;
    bool wantsHeaders = false; ///< The result contains the response's header fields.
    /// Called immediately before the request is written; if it returns false, the call ends as
    /// Withheld. Without a function, the request is always written.
    std::function<bool()> isPermitted;
};

/// Internal: the outcome of an HttpCall and, if there was one, the response.
struct HttpResult
{
    enum class Outcome {
        Responded,
        NotSent, ///< No connection was established; the server has received nothing.
        Withheld, ///< HttpCall::isPermitted returned false; the server has received nothing.
        Unknown, ///< May have been sent; the connection failed or timed out before the response.
    };
    Outcome outcome = Outcome::Unknown;
    int status = 0;
    HeaderList headers; ///< Empty unless the call wants them.
    std::string body;
    Instant sent; ///< When send() was called.
};

/// Internal: an HTTP/1.1 client for one server, with a pool of persistent connections. Each
/// connection has one request at a time; further requests are queued. A connection that timed out
/// is not reused. Not thread-safe: use it on the thread that runs its io_context.
class HttpClient : public std::enable_shared_from_this<HttpClient>
{
public:
    using Callback = std::function<void(HttpResult)>;

    /// `address` is IP:PORT; throws std::invalid_argument if it has no port. Opens at most
    /// `connections` connections at a time.
    HttpClient(boost::asio::io_context &io, const std::string &address, std::size_t connections);
    ~HttpClient();

    /// Sends `call` and calls `done` exactly once, never before send() returns.
    void send(HttpCall call, Callback done);
    /// Closes all connections for good. Calls on them end as Unknown or NotSent; queued and later
    /// calls end as NotSent.
    void close();
    /// Returns the number of connections opened so far, including failed attempts.
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

    static bool isClosedByServer(Connection &connection);
    static bool isPermitted(const Pending &pending);
    static HttpResult::Outcome withheldOutcome(const Pending &pending);
    void dispatchQueued();
    void connect(const std::shared_ptr<Connection> &connection);
    void write(const std::shared_ptr<Connection> &connection);
    void read(const std::shared_ptr<Connection> &connection);
    void onRead(const std::shared_ptr<Connection> &connection, boost::system::error_code failed,
                std::size_t received);
    void fail(const std::shared_ptr<Connection> &connection);
    void setDeadline(Connection &connection, Instant deadline);
    void clearDeadline(Connection &connection);
    void finish(const std::shared_ptr<Connection> &connection, HttpResult result, bool keepOpen);
    void retire(const std::shared_ptr<Connection> &connection);

    boost::asio::io_context &m_io;
    CallDeadlines &m_deadlines;
    boost::asio::ip::tcp::endpoint m_endpoint;
    std::string m_host;
    std::size_t m_maxConnections;
    std::deque<Pending> m_queue;
    std::vector<std::shared_ptr<Connection>> m_connections;
    std::uint64_t m_connectionsOpened = 0;
    bool m_isClosed = false;
};

} // namespace oleanderhall
