#include "upstreamclient.h"

#include "callparser.h"
#include "httptypes.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>

namespace oleanderhall {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr int kHttpVersion = 11;

HttpRequest requestFor(const Endpoint &endpoint, const Call &call, Instant now, Instant deadline)
{
    HttpRequest request;
    request.version(kHttpVersion);
    request.method_string(call.method);
    request.target(call.target);
    for (const auto &[name, value] : call.headers)
        request.insert(name, value);
    request.set(http::field::host, endpoint.address + ":" + std::to_string(endpoint.port));
    request.set(http::field::via, "1.1 oleanderhall");
    const auto remaining = std::chrono::duration_cast<Millis>(deadline - now);
    request.set(kTimeoutHeader, std::to_string(std::max<Millis::rep>(remaining.count(), 1)));
    request.body() = call.body;
    request.prepare_payload();
    return request;
}

Reply replyFrom(HttpResponse &response)
{
    Reply reply{.status = static_cast<int>(response.result_int())};
    for (const auto &field : response) {
        const std::string_view name(field.name_string().data(), field.name_string().size());
        if (!isHopByHop(name))
            reply.headers.emplace_back(name, std::string(field.value()));
    }
    reply.body = std::move(response.body());
    return reply;
}

/// Returns a failed outcome. g++ 12 destroys an aggregate twice that is created inside a co_return
/// or co_await expression, hence this function.
UpstreamOutcome failure(UpstreamOutcome::Kind kind)
{
    UpstreamOutcome outcome;
    outcome.kind = kind;
    return outcome;
}

asio::awaitable<void> open(beast::tcp_stream &stream, asio::ip::tcp::endpoint target,
                           Instant connectDeadline, beast::error_code &failed)
{
    stream.expires_at(connectDeadline);
    co_await stream.async_connect(target, asio::redirect_error(asio::use_awaitable, failed));
}

} // namespace

asio::awaitable<UpstreamOutcome> UpstreamClient::send(const Endpoint &endpoint, const Call &call,
                                                      Instant deadline, bool mayReuse)
{
    const PoolKey key(endpoint.address, endpoint.port);
    ConnectionPtr connection = mayReuse ? takeIdle(key) : nullptr;
    if (!connection) {
        connection = co_await connect(endpoint, deadline);
        if (!connection)
            co_return failure(UpstreamOutcome::Kind::NotSent);
    }
    // The exchange must run on the connection's strand, on which its timer and its socket run.
    UpstreamOutcome outcome = co_await asio::co_spawn(
        connection->stream.get_executor(), exchange(*connection, call, endpoint, deadline),
        asio::use_awaitable);
    releaseConnection(key, std::move(connection), outcome.kind == UpstreamOutcome::Kind::Responded);
    co_return outcome;
}

void UpstreamClient::closeIdle(Instant now)
{
    const std::lock_guard lock(m_mutex);
    for (auto pool = m_pools.begin(); pool != m_pools.end();) {
        std::erase_if(pool->second.idle, [&](const ConnectionPtr &connection) {
            return now - connection->idleSince > m_settings.idleTimeout;
        });
        const bool isUnused = pool->second.idle.empty() && pool->second.inUse == 0;
        pool = isUnused ? m_pools.erase(pool) : std::next(pool);
    }
}

asio::awaitable<UpstreamClient::ConnectionPtr> UpstreamClient::connect(const Endpoint &endpoint,
                                                                       Instant deadline)
{
    beast::error_code failed;
    const auto address = asio::ip::make_address(endpoint.address, failed);
    if (failed)
        co_return nullptr;
    auto connection = std::make_unique<Connection>(beast::tcp_stream(asio::make_strand(m_io)));
    const Instant connectDeadline = std::chrono::steady_clock::now() + m_settings.connectTimeout;
    const asio::ip::tcp::endpoint target(address, endpoint.port);
    co_await asio::co_spawn(
        connection->stream.get_executor(),
        open(connection->stream, target, std::min(deadline, connectDeadline), failed),
        asio::use_awaitable);
    if (failed)
        co_return nullptr;
    connection->stream.socket().set_option(asio::ip::tcp::no_delay(true), failed);
    const std::lock_guard lock(m_mutex);
    ++m_pools[{endpoint.address, endpoint.port}].inUse;
    co_return connection;
}

asio::awaitable<UpstreamOutcome> UpstreamClient::exchange(Connection &connection, const Call &call,
                                                          const Endpoint &endpoint,
                                                          Instant deadline)
{
    using Kind = UpstreamOutcome::Kind;
    const bool wasUsed = std::exchange(connection.wasUsed, true);
    beast::error_code failed;
    HttpRequest request = requestFor(endpoint, call, std::chrono::steady_clock::now(), deadline);
    connection.stream.expires_at(deadline);
    const std::size_t written = co_await http::async_write(
        connection.stream, request, asio::redirect_error(asio::use_awaitable, failed));
    if (failed && written == 0)
        co_return failure(Kind::NotSent);
    http::response_parser<http::string_body> parser;
    parser.body_limit(m_settings.maxResponseBytes);
    parser.skip(call.method == "HEAD");
    std::size_t received = 0;
    if (!failed) {
        received = co_await http::async_read(connection.stream, connection.buffer, parser,
                                             asio::redirect_error(asio::use_awaitable, failed));
    }
    if (failed == beast::error::timeout)
        co_return failure(Kind::TimedOut);
    if (failed && wasUsed && received == 0)
        co_return failure(Kind::Stale);
    if (failed || parser.need_eof() || connection.buffer.size() > 0)
        co_return failure(Kind::InvalidResponse);
    HttpResponse response = parser.release();
    // The upstream is going to close this connection, so it must not be reused.
    if (!response.keep_alive())
        connection.stream.close();
    UpstreamOutcome outcome;
    outcome.kind = Kind::Responded;
    outcome.reply = replyFrom(response);
    co_return outcome;
}

UpstreamClient::ConnectionPtr UpstreamClient::takeIdle(const PoolKey &key)
{
    const std::lock_guard lock(m_mutex);
    const auto pool = m_pools.find(key);
    if (pool == m_pools.end())
        return nullptr;
    const Instant oldest = std::chrono::steady_clock::now() - m_settings.idleTimeout;
    while (!pool->second.idle.empty()) {
        ConnectionPtr connection = std::move(pool->second.idle.back());
        pool->second.idle.pop_back();
        if (connection->idleSince < oldest)
            continue;
        ++pool->second.inUse;
        return connection;
    }
    return nullptr;
}

void UpstreamClient::releaseConnection(const PoolKey &key, ConnectionPtr connection,
                                       bool isReusable)
{
    const std::lock_guard lock(m_mutex);
    Pool &pool = m_pools[key];
    --pool.inUse;
    const int open = pool.inUse + static_cast<int>(pool.idle.size());
    if (!isReusable || !connection->stream.socket().is_open() || open >= m_maxConnections)
        return;
    connection->idleSince = std::chrono::steady_clock::now();
    pool.idle.push_back(std::move(connection));
}

} // namespace oleanderhall
