#pragma once

#include <utility>

#include "httptypes.h"

#include "oleanderhall/core/time.h"
#include "oleanderhall/routing/refusal.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>

namespace oleanderhall {

class Metrics;
struct Reply;

/// Internal: answers one whole request. It must not throw and must outlive the server.
using RequestHandler = std::function<boost::asio::awaitable<Reply>(HttpRequest &)>;

/// Internal: what callers may cost this entry host.
struct CallerLimits
{
    std::size_t headerBytes = 8192;
    std::size_t bodyBytes = 1UL << 20;
    std::size_t bufferedBytes = 8UL << 20; ///< Bodies of all requests together.
    int connections = 512;
    Millis headerTimeout{5000};
    Millis bodyTimeout{10000};
    Millis idleTimeout{30000};
    Millis responseTimeout{10000}; ///< For a caller to take in its answer.
};

/// Internal: the callers' side of the entry host: an HTTP/1.1 server with a limit on everything
/// that a caller can make it hold.
class CallerServer : public std::enable_shared_from_this<CallerServer>
{
public:
    CallerServer(boost::asio::io_context &io, CallerLimits limits, RequestHandler handler,
                 Metrics &metrics);

    /// Starts to listen. Throws when the address can't be had.
    void start(const std::string &address, std::uint16_t port);
    /// Closes each connection after its next answer; everything is still answered.
    void drain();
    /// Stops to accept; idle connections are closed, requests in flight are answered.
    void stop();
    /// Returns how many requests are being worked on.
    int requestsInFlight() const { return m_requestsInFlight; }
    int connectionCount() const { return m_connectionCount; }

private:
    struct Session;
    using SessionPtr = std::shared_ptr<Session>;

    boost::asio::awaitable<void> acceptLoop();
    boost::asio::awaitable<void> runSession(SessionPtr session);
    boost::asio::awaitable<bool> serveRequest(SessionPtr session);
    boost::asio::awaitable<std::optional<Refusal>> readBody(SessionPtr session, Instant headerEnd);
    boost::asio::awaitable<bool> write(SessionPtr session, const Reply &reply, unsigned version,
                                       bool keepAlive, bool isHead);
    boost::asio::awaitable<bool> refuse(SessionPtr session, Refusal refusal);

    boost::asio::io_context &m_io;
    CallerLimits m_limits;
    RequestHandler m_handler;
    Metrics &m_metrics;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::atomic<bool> m_isDraining{false};
    std::atomic<bool> m_isStopping{false};
    std::atomic<int> m_connectionCount{0};
    std::atomic<int> m_requestsInFlight{0};
    std::atomic<std::size_t> m_bufferedBytes{0};
    std::mutex m_mutex;
    std::set<SessionPtr> m_sessions;
};

} // namespace oleanderhall
