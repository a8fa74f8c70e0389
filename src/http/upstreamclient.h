#pragma once

#include <utility>

#include "call.h"
#include "upstreamoutcome.h"

#include "oleanderhall/routing/endpoint.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace oleanderhall {

/// Internal: limits of an UpstreamClient.
struct UpstreamClientSettings
{
    std::size_t maxResponseBytes = 4UL << 20;
    Millis connectTimeout{300};
    Millis idleTimeout{4000}; ///< Idle connections are not reused after this time.
};

/// Internal: sends requests to upstreams, each at most once. A connection is reused only after a
/// complete response without surplus bytes. A connection that timed out is closed, so that a late
/// response can't be taken for that of another request. Thread-safe.
class UpstreamClient
{
public:
    UpstreamClient(boost::asio::io_context &io, UpstreamClientSettings settings)
        : m_io(io)
        , m_settings(settings)
    {}

    /// Sends `call` to `endpoint` and waits for the response until `deadline`. `mayReuse` allows a
    /// connection that was used before, which the upstream may have closed.
    boost::asio::awaitable<UpstreamOutcome> send(const Endpoint &endpoint, const Call &call,
                                                 Instant deadline, bool mayReuse);

    /// Sets the limit for reuse: after a response, a connection is kept only while fewer than
    /// `connections` others to the same upstream are open. New connections are not limited.
    void setMaxConnections(int connections) { m_maxConnections = connections; }
    /// Closes connections that have been idle for longer than the idle timeout.
    void closeIdle(Instant now);

private:
    struct Connection
    {
        explicit Connection(boost::beast::tcp_stream connected)
            : stream(std::move(connected))
        {}

        boost::beast::tcp_stream stream;
        boost::beast::flat_buffer buffer;
        Instant idleSince;
        bool wasUsed = false;
    };
    using ConnectionPtr = std::unique_ptr<Connection>;
    using PoolKey = std::pair<std::string, std::uint16_t>;
    struct Pool
    {
        int inUse = 0;
        std::vector<ConnectionPtr> idle;
    };

    boost::asio::awaitable<ConnectionPtr> connect(const Endpoint &endpoint, Instant deadline);
    boost::asio::awaitable<UpstreamOutcome> exchange(Connection &connection, const Call &call,
                                                     const Endpoint &endpoint, Instant deadline);
    ConnectionPtr takeIdle(const PoolKey &key);
    void releaseConnection(const PoolKey &key, ConnectionPtr connection, bool isReusable);

    boost::asio::io_context &m_io;
    UpstreamClientSettings m_settings;
    std::atomic<int> m_maxConnections{1};
    std::mutex m_mutex;
    std::map<PoolKey, Pool> m_pools;
};

} // namespace oleanderhall
