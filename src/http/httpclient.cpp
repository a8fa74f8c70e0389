#include "httpclient.h"

#include "oleanderhall/core/clock.h"

#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <cerrno>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace oleanderhall {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr Millis kConnectTimeout{400}; // TCP retransmits a lost SYN only after 1 s
constexpr int kUnackedTimeoutMs = 2000; // how long sent data may stay unacknowledged
constexpr std::size_t kBufferBytes = 4096;
constexpr std::uint64_t kMaxResponseBytes = 16UL << 20;

asio::ip::tcp::endpoint endpointOf(const std::string &address)
{
    const auto colon = address.rfind(':');
    if (colon == std::string::npos)
        throw std::invalid_argument("address has no port: " + address);
    return {asio::ip::make_address(address.substr(0, colon)),
            static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))};
}

HeaderList headersOf(const http::response<http::string_body> &response)
{
    HeaderList headers;
    for (const auto &field : response)
        headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    return headers;
}

http::verb verbOf(const std::string &method)
{
    return http::string_to_verb(method);
}

} // namespace

bool HttpClient::isPermitted(const Pending &pending)
{
    return !pending.call.isPermitted || pending.call.isPermitted();
}

HttpResult::Outcome HttpClient::withheldOutcome(const Pending &pending)
{
    // A retried call has been sent before.
    return pending.isRetry ? HttpResult::Outcome::Unknown : HttpResult::Outcome::Withheld;
}

struct HttpClient::Connection
{
    explicit Connection(asio::io_context &io)
        : stream(io)
    {
        buffer.reserve(kBufferBytes);
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    bool isOpen = false;
    bool isBusy = false;
    bool wasUsed = false;
    Pending pending;
    http::request<http::string_body> request;
    std::unique_ptr<http::response_parser<http::string_body>> parser;
};

bool HttpClient::isClosedByServer(Connection &connection)
{
    if (!connection.isOpen)
        return false;
    char byte = 0;
    const auto received = ::recv(connection.stream.socket().native_handle(), &byte, 1,
                                 MSG_PEEK | MSG_DONTWAIT);
    // Nothing to read is the normal state of an idle connection.
    return received >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

HttpClient::HttpClient(asio::io_context &io, const std::string &address, std::size_t connections)
    : m_io(io)
    , m_endpoint(endpointOf(address))
    , m_host(address)
    , m_maxConnections(connections)
{}

HttpClient::~HttpClient() = default;

void HttpClient::send(HttpCall call, Callback done)
{
    m_queue.push_back({std::move(call), std::move(done), monotonicNow()});
    asio::post(m_io, [self = shared_from_this()] { self->dispatchQueued(); });
}

void HttpClient::close()
{
    m_isClosed = true;
    for (const auto &connection : m_connections)
        connection->stream.close();
    asio::post(m_io, [self = shared_from_this()] { self->dispatchQueued(); });
}

void HttpClient::dispatchQueued()
{
    while (m_isClosed && !m_queue.empty()) {
        const Pending pending = std::move(m_queue.front());
        m_queue.pop_front();
        // A retried call has been sent before.
        pending.done({.outcome = pending.isRetry ? HttpResult::Outcome::Unknown
                                                 : HttpResult::Outcome::NotSent,
                      .sent = pending.sent});
    }
    while (!m_queue.empty()) {
        std::shared_ptr<Connection> chosen;
        for (const auto &connection : m_connections) {
            if (!connection->isBusy)
                chosen = connection;
        }
        // A call that may not be sent twice would end as Unknown on a connection that the server
        // has closed.
        if (chosen && !m_queue.front().call.isRetryable && isClosedByServer(*chosen)) {
            retire(chosen);
            continue;
        }
        if (!chosen) {
            if (m_connections.size() >= m_maxConnections)
                return;
            chosen = std::make_shared<Connection>(m_io);
            m_connections.push_back(chosen);
        }
        Pending pending = std::move(m_queue.front());
        m_queue.pop_front();
        if (monotonicNow() >= pending.sent + pending.call.timeout) {
            // Timed out while it was queued for a connection.
            pending.done({.outcome = HttpResult::Outcome::NotSent, .sent = pending.sent});
            continue;
        }
        if (!isPermitted(pending)) {
            pending.done({.outcome = withheldOutcome(pending), .sent = pending.sent});
            continue;
        }
        chosen->isBusy = true;
        chosen->pending = std::move(pending);
        if (chosen->isOpen)
            write(chosen);
        else
            connect(chosen);
    }
}

void HttpClient::connect(const std::shared_ptr<Connection> &connection)
{
    ++m_connectionsOpened;
    const Pending &pending = connection->pending;
    connection->stream.expires_after(std::min<Instant::duration>(
        pending.sent + pending.call.timeout - monotonicNow(), kConnectTimeout));
    connection->stream.async_connect(
        m_endpoint, [self = shared_from_this(), connection](const beast::error_code &failed) {
            if (failed) {
                self->finish(connection, {.outcome = HttpResult::Outcome::NotSent}, false);
                return;
            }
            connection->isOpen = true;
            beast::error_code ignored;
            connection->stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
            using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
            connection->stream.socket().set_option(UserTimeout(kUnackedTimeoutMs), ignored);
            // Resets the connection when it is closed. A graceful close would let the kernel go on
            // sending a call that has timed out.
            connection->stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
            if (isPermitted(connection->pending))
                self->write(connection);
            else
                self->finish(connection, {.outcome = withheldOutcome(connection->pending)}, true);
        });
}

void HttpClient::write(const std::shared_ptr<Connection> &connection)
{
    const HttpCall &call = connection->pending.call;
    auto &request = connection->request;
    request = {};
    request.version(11);
    request.method(verbOf(call.method));
    request.target(call.target);
    request.set(http::field::host, m_host);
    for (const auto &[name, value] : call.headers)
        request.set(name, value);
    request.body() = call.body;
    if (!call.body.empty() || call.method == "POST" || call.method == "PUT")
        request.prepare_payload();
    connection->parser = std::make_unique<http::response_parser<http::string_body>>();
    connection->parser->body_limit(kMaxResponseBytes);
    connection->stream.expires_after(connection->pending.sent + call.timeout - monotonicNow());
    const auto onFailure = [this](const std::shared_ptr<Connection> &target) {
        Pending &pending = target->pending;
        // The server may have closed the reused connection in the meantime; a retryable call is
        // sent once more, on another connection.
        const bool isStale = target->wasUsed && pending.call.isRetryable && !pending.isRetry
            && monotonicNow() < pending.sent + pending.call.timeout;
        if (!isStale) {
            finish(target, {.outcome = HttpResult::Outcome::Unknown}, false);
            return;
        }
        pending.isRetry = true;
        m_queue.push_front(std::move(pending));
        retire(target);
        dispatchQueued();
    };
    http::async_write(
        connection->stream, request,
        [self = shared_from_this(), connection, onFailure](const beast::error_code &failed,
                                                           std::size_t) {
            if (failed) {
                onFailure(connection);
                return;
            }
            http::async_read(
                connection->stream, connection->buffer, *connection->parser,
                [self, connection, onFailure](const beast::error_code &readError, std::size_t) {
                    if (readError) {
                        onFailure(connection);
                        return;
                    }
                    auto response = connection->parser->release();
                    const bool keepOpen = response.keep_alive();
                    HeaderList headers;
                    if (connection->pending.call.wantsHeaders)
                        headers = headersOf(response);
                    self->finish(connection,
                                 {.outcome = HttpResult::Outcome::Responded,
                                  .status = static_cast<int>(response.result_int()),
                                  .headers = std::move(headers),
                                  .body = std::move(response.body())},
                                 keepOpen);
                });
        });
}

void HttpClient::finish(const std::shared_ptr<Connection> &connection, HttpResult result,
                        bool keepOpen)
{
    Pending pending = std::move(connection->pending);
    result.sent = pending.sent;
    connection->isBusy = false;
    connection->wasUsed = true;
    connection->stream.expires_never();
    if (!keepOpen)
        retire(connection);
    pending.done(std::move(result));
    dispatchQueued();
}

void HttpClient::retire(const std::shared_ptr<Connection> &connection)
{
    connection->stream.close();
    std::erase(m_connections, connection);
}

} // namespace oleanderhall
