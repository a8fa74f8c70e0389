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

/// Internal: returns the response to one complete request. It must not throw, and what it refers to
/// must outlive the server.
using RequestHandler = std::function<boost::asio::awaitable<Reply>(HttpRequest &)>;

/// Internal: limits on the memory, connections and time that callers may use on this entry host.
struct CallerLimits
{
    std::size_t headerBytes = 8192;
    std::size_t bodyBytes = 1UL << 20; ///< Body of one request.
    std::size_t bufferedBytes = 8UL << 20; ///< Total size of all requests' bodies in memory.
    int connections = 512;
    Millis headerTimeout{5000}; ///< From the first byte to the end of the header.
    Millis bodyTimeout{10000}; ///< From the end of the header to the end of the body.
    Millis idleTimeout{30000}; ///< Until the first byte of the next request.
    Millis responseTimeout{10000}; ///< For sending the response to the caller.
};

/// Internal: the HTTP/1.1 server for callers of the entry host. Every resource that a caller can
/// occupy has a limit. A request that is too large or too slow is refused with a problem document;
/// a connection that is idle for too long or exceeds the limit is closed.
class CallerServer : public std::enable_shared_from_this<CallerServer>
{
public:
    CallerServer(boost::asio::io_context &io, CallerLimits limits, RequestHandler handler,
                 Metrics &metrics);

    /// Starts to listen. Throws boost::system::system_error if it can't bind to the address.
    void start(const std::string &address, std::uint16_t port);
    /// Closes each connection after its next response. Continues to accept and answer requests.
    void drain();
    /// Stops accepting connections and closes idle ones. Requests in flight are still answered.
    void stop();
    /// Returns the number of requests whose first byte was received and whose response is not yet
    /// written.
    int requestsInFlight() const { return m_requestsInFlight; }
    int connectionCount() const { return m_connectionCount; }

private:
    struct Session;
    using SessionPtr = std::shared_ptr<Session>;

    boost::asio::awaitable<void> acceptLoop();
    /// Serves the requests of one connection and closes it.
    boost::asio::awaitable<void> runSession(SessionPtr session);
    /// Returns whether the connection stays open for another request.
    boost::asio::awaitable<bool> serveRequest(SessionPtr session);
    /// Returns nothing if the body was read, otherwise the reason for refusing the request.
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
