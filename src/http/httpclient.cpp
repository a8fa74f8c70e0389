#include "httpclient.h"

#include "calldeadlines.h"
#include "responseparser.h"

#include "oleanderhall/core/clock.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <cerrno>
#include <netinet/tcp.h>
#include <optional>
#include <sys/socket.h>

namespace oleanderhall {

namespace asio = boost::asio;
namespace beast = boost::beast;

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

bool isNamed(const std::pair<std::string, std::string> &field, const char *name)
{
    return beast::iequals(field.first, name);
}

/// Appends the fields of `headers` that the client doesn't set itself; of fields with the same name
/// the last one counts.
void appendFields(const HeaderList &headers, std::string &out)
{
    for (auto field = headers.begin(); field != headers.end(); ++field) {
        const bool isReplaced = std::any_of(field + 1, headers.end(), [&](const auto &later) {
            return isNamed(later, field->first.c_str());
        });
        if (isReplaced || isNamed(*field, "Content-Length") || isNamed(*field, "Transfer-Encoding"))
            continue;
        out.append(field->first).append(": ").append(field->second).append("\r\n");
    }
}

/// Replaces `out` by the request of `call` with its body, so that one write sends it.
void encodeRequest(const HttpCall &call, const std::string &host, std::string &out)
{
    out.clear();
    out.append(call.method).append(" ").append(call.target).append(" HTTP/1.1\r\n");
    const bool namesHost = std::any_of(call.headers.begin(), call.headers.end(),
                                       [](const auto &field) { return isNamed(field, "Host"); });
    if (!namesHost)
        out.append("Host: ").append(host).append("\r\n");
    appendFields(call.headers, out);
    if (!call.body.empty() || call.method == "POST" || call.method == "PUT")
        out.append("Content-Length: ").append(std::to_string(call.body.size())).append("\r\n");
    out.append("\r\n").append(call.body);
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
    using Executor = asio::io_context::executor_type;

    explicit Connection(asio::io_context &io)
        : socket(io)
    {
        buffer.reserve(kBufferBytes);
    }

    void close()
    {
        boost::system::error_code ignored;
        socket.close(ignored);
    }

    asio::basic_stream_socket<asio::ip::tcp, Executor> socket;
    beast::flat_buffer buffer;
    bool isOpen = false;
    bool isBusy = false;
    bool wasUsed = false;
    Pending pending;
    std::string request;
    std::optional<ResponseParser> parser;
    std::optional<CallDeadlines::Handle> deadline; ///< Of the current step of the call.
};

bool HttpClient::isClosedByServer(Connection &connection)
{
    if (!connection.isOpen)
        return false;
    char byte = 0;
    const auto received = ::recv(connection.socket.native_handle(), &byte, 1,
                                 MSG_PEEK | MSG_DONTWAIT);
    // Nothing to read is the normal state of an idle connection.
    return received >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

HttpClient::HttpClient(asio::io_context &io, const std::string &address, std::size_t connections)
    : m_io(io)
    , m_deadlines(asio::use_service<CallDeadlines>(io))
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
        connection->close();
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

void HttpClient::setDeadline(Connection &connection, Instant deadline)
{
    clearDeadline(connection);
    connection.deadline = m_deadlines.add(deadline, [&connection] {
        // The operation in progress then fails, which ends the call.
        connection.deadline.reset();
        connection.close();
    });
}

void HttpClient::clearDeadline(Connection &connection)
{
    if (connection.deadline)
        m_deadlines.remove(*connection.deadline);
    connection.deadline.reset();
}

void HttpClient::connect(const std::shared_ptr<Connection> &connection)
{
    ++m_connectionsOpened;
    const Pending &pending = connection->pending;
    setDeadline(*connection,
                std::min(pending.sent + pending.call.timeout, monotonicNow() + kConnectTimeout));
    connection->socket.async_connect(
        m_endpoint,
        [self = shared_from_this(), connection](const boost::system::error_code &failed) {
            // The deadline may have passed after the connection was established.
            if (failed || !connection->socket.is_open()) {
                self->finish(connection, {.outcome = HttpResult::Outcome::NotSent}, false);
                return;
            }
            connection->isOpen = true;
            boost::system::error_code ignored;
            connection->socket.non_blocking(true, ignored);
            connection->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
            using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
            connection->socket.set_option(UserTimeout(kUnackedTimeoutMs), ignored);
            // Resets the connection when it is closed. A graceful close would let the kernel go on
            // sending a call that has timed out.
            connection->socket.set_option(asio::socket_base::linger(true, 0), ignored);
            if (isPermitted(connection->pending))
                self->write(connection);
            else
                self->finish(connection, {.outcome = withheldOutcome(connection->pending)}, true);
        });
}

void HttpClient::write(const std::shared_ptr<Connection> &connection)
{
    const HttpCall &call = connection->pending.call;
    encodeRequest(call, m_host, connection->request);
    connection->parser.emplace(kMaxResponseBytes, call.wantsHeaders);
    setDeadline(*connection, connection->pending.sent + call.timeout);
    // Without a handler, as the socket's buffer usually has room for the whole request.
    boost::system::error_code failed;
    const std::size_t written = connection->socket.write_some(asio::buffer(connection->request),
                                                              failed);
    if (!failed && written == connection->request.size()) {
        read(connection);
        return;
    }
    if (failed && failed != asio::error::would_block) {
        asio::post(m_io, [self = shared_from_this(), connection] { self->fail(connection); });
        return;
    }
    asio::async_write(connection->socket, asio::buffer(connection->request) + written,
                      [self = shared_from_this(),
                       connection](const boost::system::error_code &writeError, std::size_t) {
                          if (writeError)
                              self->fail(connection);
                          else
                              self->read(connection);
                      });
}

void HttpClient::read(const std::shared_ptr<Connection> &connection)
{
    beast::flat_buffer &buffer = connection->buffer;
    const std::size_t room = std::max(kBufferBytes, buffer.capacity() - buffer.size());
    connection->socket.async_read_some(
        buffer.prepare(room),
        [self = shared_from_this(), connection](const boost::system::error_code &failed,
                                                std::size_t received) {
            self->onRead(connection, failed, received);
        });
}

void HttpClient::onRead(const std::shared_ptr<Connection> &connection,
                        boost::system::error_code failed, std::size_t received)
{
    ResponseParser &parser = *connection->parser;
    beast::flat_buffer &buffer = connection->buffer;
    buffer.commit(received);
    if (!failed) {
        buffer.consume(parser.put(buffer.data(), failed));
        if (failed == beast::http::error::need_more)
            failed = {};
    } else if (failed == asio::error::eof && parser.got_some()) {
        // The end of the connection may be the end of the response.
        failed = {};
        parser.put_eof(failed);
    }
    if (failed) {
        fail(connection);
        return;
    }
    if (!parser.is_done()) {
        read(connection);
        return;
    }
    // Bytes beyond the response belong to no call; the next one must not read them.
    const bool keepOpen = parser.keep_alive() && buffer.size() == 0;
    finish(connection,
           {.outcome = HttpResult::Outcome::Responded,
            .status = parser.status(),
            .headers = parser.takeHeaders(),
            .body = parser.takeBody()},
           keepOpen);
}

void HttpClient::fail(const std::shared_ptr<Connection> &connection)
{
    Pending &pending = connection->pending;
    // The server may have closed the reused connection in the meantime; a retryable call is
    // sent once more, on another connection.
    const bool isStale = connection->wasUsed && pending.call.isRetryable && !pending.isRetry
        && monotonicNow() < pending.sent + pending.call.timeout;
    if (!isStale) {
        finish(connection, {.outcome = HttpResult::Outcome::Unknown}, false);
        return;
    }
    clearDeadline(*connection);
    pending.isRetry = true;
    m_queue.push_front(std::move(pending));
    retire(connection);
    dispatchQueued();
}

void HttpClient::finish(const std::shared_ptr<Connection> &connection, HttpResult result,
                        bool keepOpen)
{
    Pending pending = std::move(connection->pending);
    result.sent = pending.sent;
    connection->isBusy = false;
    connection->wasUsed = true;
    clearDeadline(*connection);
    // The deadline may have passed in the same turn of the event loop as the response.
    keepOpen = keepOpen && connection->socket.is_open();
    if (!keepOpen)
        retire(connection);
    pending.done(std::move(result));
    dispatchQueued();
}

void HttpClient::retire(const std::shared_ptr<Connection> &connection)
{
    connection->close();
    std::erase(m_connections, connection);
}

} // namespace oleanderhall
