#include <utility>

#include "callerserver.h"

#include "call.h"
#include "problem.h"

#include "../daemon/metrics.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace oleanderhall {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

using BodyParser = http::request_parser<http::string_body>;

constexpr Millis kRetryAfter{1000};

RefusalReason reasonFor(const beast::error_code &failed)
{
    if (failed == http::error::header_limit || failed == http::error::buffer_overflow)
        return RefusalReason::HeaderTooLarge;
    if (failed == http::error::body_limit)
        return RefusalReason::BodyTooLarge;
    return RefusalReason::BadRequest;
}

} // namespace

struct CallerServer::Session
{
    explicit Session(asio::ip::tcp::socket socket, std::size_t headerBytes)
        : stream(std::move(socket))
        , readTimer(stream.get_executor())
        , buffer(2 * headerBytes)
    {}

    /// Cancels pending operations on the stream at `deadline`. Unlike the stream's own timeout,
    /// this leaves the connection open, so that a refusal can be sent. Runs on the session's
    /// strand, like everything that uses a session.
    void startReadTimer(Instant deadline)
    {
        isTimedOut = false;
        stream.expires_never();
        readTimer.expires_at(deadline);
        readTimer.async_wait([this, self = weakSelf.lock()](const beast::error_code &cancelled) {
            if (cancelled || !isReadTimerActive)
                return;
            isTimedOut = true;
            stream.cancel();
        });
        isReadTimerActive = true;
    }
    void stopReadTimer()
    {
        isReadTimerActive = false;
        readTimer.cancel();
    }

    Refusal refusalFor(const beast::error_code &failed) const
    {
        const RefusalReason reason = isTimedOut ? RefusalReason::RequestTooSlow : reasonFor(failed);
        return {reason, ExecutionStatus::NotExecuted, std::nullopt};
    }

    std::weak_ptr<Session> weakSelf;
    beast::tcp_stream stream;
    asio::steady_timer readTimer;
    bool isReadTimerActive = false;
    bool isTimedOut = false;
    beast::flat_buffer buffer;
    std::unique_ptr<BodyParser> parser;
    std::atomic<bool> isHandlingRequest{false};
    std::size_t reservedBytes = 0;
};

CallerServer::CallerServer(asio::io_context &io, CallerLimits limits, RequestHandler handler,
                           Metrics &metrics)
    : m_io(io)
    , m_limits(limits)
    , m_handler(std::move(handler))
    , m_metrics(metrics)
    , m_acceptor(asio::make_strand(io))
{}

void CallerServer::start(const std::string &address, std::uint16_t port)
{
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(address), port);
    m_acceptor.open(endpoint.protocol());
    m_acceptor.set_option(asio::socket_base::reuse_address(true));
    m_acceptor.bind(endpoint);
    m_acceptor.listen();
    asio::co_spawn(
        m_acceptor.get_executor(), [self = shared_from_this()] { return self->acceptLoop(); },
        asio::detached);
}

void CallerServer::drain()
{
    m_isDraining = true;
}

void CallerServer::stop()
{
    m_isDraining = true;
    m_isStopping = true;
    asio::post(m_acceptor.get_executor(), [self = shared_from_this()] {
        beast::error_code ignored;
        self->m_acceptor.close(ignored);
    });
    const std::lock_guard lock(m_mutex);
    for (const SessionPtr &session : m_sessions) {
        asio::post(session->stream.get_executor(), [session] {
            if (!session->isHandlingRequest)
                session->stream.close();
        });
    }
}

asio::awaitable<void> CallerServer::acceptLoop()
{
    for (;;) {
        beast::error_code failed;
        asio::ip::tcp::socket socket(asio::make_strand(m_io));
        co_await m_acceptor.async_accept(socket, asio::redirect_error(asio::use_awaitable, failed));
        if (m_isStopping)
            co_return;
        if (failed) {
            // The process has probably run out of file descriptors. Retry later, when connections
            // may have been closed.
            constexpr Millis kAcceptRetryDelay{20};
            asio::steady_timer timer(m_acceptor.get_executor(), kAcceptRetryDelay);
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, failed));
            continue;
        }
        if (m_connectionCount >= m_limits.connections) {
            m_metrics.countRefusal(RefusalReason::TooManyConnections);
            continue;
        }
        socket.set_option(asio::ip::tcp::no_delay(true), failed);
        auto session = std::make_shared<Session>(std::move(socket), m_limits.headerBytes);
        session->weakSelf = session;
        {
            const std::lock_guard lock(m_mutex);
            m_sessions.insert(session);
        }
        ++m_connectionCount;
        asio::co_spawn(
            session->stream.get_executor(),
            [self = shared_from_this(), session] { return self->runSession(session); },
            asio::detached);
    }
}

asio::awaitable<void> CallerServer::runSession(SessionPtr session)
{
    try {
        while (co_await serveRequest(session)) {}
    } catch (const std::exception &) {
        m_metrics.count("caller_sessions_failed_total");
    }
    if (session->isHandlingRequest)
        --m_requestsInFlight;
    m_bufferedBytes -= session->reservedBytes;
    session->stopReadTimer();
    session->stream.close();
    const std::lock_guard lock(m_mutex);
    m_sessions.erase(session);
    --m_connectionCount;
}

asio::awaitable<bool> CallerServer::serveRequest(SessionPtr session)
{
    session->parser = std::make_unique<BodyParser>();
    BodyParser &parser = *session->parser;
    parser.header_limit(static_cast<std::uint32_t>(m_limits.headerBytes));
    parser.body_limit(m_limits.bodyBytes);
    beast::error_code failed;
    if (session->buffer.size() == 0) {
        // Wait for the first byte. No memory is reserved for a body while the connection is idle,
        // so that it holds little more than its read buffer.
        session->stream.expires_after(m_limits.idleTimeout);
        const std::size_t received = co_await session->stream.async_read_some(
            session->buffer.prepare(1024), asio::redirect_error(asio::use_awaitable, failed));
        if (failed)
            co_return false;
        session->buffer.commit(received);
    }
    session->isHandlingRequest = true;
    ++m_requestsInFlight;
    session->startReadTimer(std::chrono::steady_clock::now() + m_limits.headerTimeout);
    co_await http::async_read_header(session->stream, session->buffer, parser,
                                     asio::redirect_error(asio::use_awaitable, failed));
    session->stopReadTimer();
    if (failed == http::error::end_of_stream || failed == http::error::partial_message)
        co_return false;
    if (failed)
        co_return co_await refuse(session, session->refusalFor(failed));
    const Instant headerEnd = std::chrono::steady_clock::now();
    if (const std::optional<Refusal> refusal = co_await readBody(session, headerEnd))
        co_return co_await refuse(session, *refusal);
    HttpRequest request = parser.release();
    const bool isHead = request.method() == http::verb::head;
    const unsigned version = request.version();
    const bool keepAlive = request.keep_alive();
    const Reply reply = co_await m_handler(request);
    const bool staysOpen = co_await write(session, reply, version, keepAlive && !m_isDraining,
                                          isHead);
    m_bufferedBytes -= std::exchange(session->reservedBytes, 0);
    session->isHandlingRequest = false;
    --m_requestsInFlight;
    co_return staysOpen;
}

asio::awaitable<std::optional<Refusal>> CallerServer::readBody(SessionPtr session,
                                                               Instant headerEnd)
{
    BodyParser &parser = *session->parser;
    const auto &header = parser.get();
    // With both fields the end of the request is ambiguous, which allows request smuggling.
    if (header.count(http::field::content_length) > 0
        && header.count(http::field::transfer_encoding) > 0)
        co_return Refusal{RefusalReason::BadRequest, ExecutionStatus::NotExecuted, std::nullopt};
    if (parser.is_done())
        co_return std::nullopt;
    const std::size_t size = parser.content_length() ? *parser.content_length()
                                                     : m_limits.bodyBytes;
    if (size > m_limits.bodyBytes)
        co_return Refusal{RefusalReason::BodyTooLarge, ExecutionStatus::NotExecuted, std::nullopt};
    if (m_bufferedBytes + size > m_limits.bufferedBytes)
        co_return Refusal{RefusalReason::Overloaded, ExecutionStatus::NotExecuted, kRetryAfter};
    m_bufferedBytes += size;
    session->reservedBytes = size;
    beast::error_code failed;
    if (beast::iequals(header[http::field::expect], "100-continue")) {
        http::response<http::empty_body> interim(http::status::continue_, header.version());
        co_await http::async_write(session->stream, interim,
                                   asio::redirect_error(asio::use_awaitable, failed));
    }
    session->startReadTimer(headerEnd + m_limits.bodyTimeout);
    co_await http::async_read(session->stream, session->buffer, parser,
                              asio::redirect_error(asio::use_awaitable, failed));
    session->stopReadTimer();
    if (failed)
        co_return session->refusalFor(failed);
    co_return std::nullopt;
}

asio::awaitable<bool> CallerServer::write(SessionPtr session, const Reply &reply, unsigned version,
                                          bool keepAlive, bool isHead)
{
    HttpResponse response(static_cast<http::status>(reply.status), version);
    for (const auto &[name, value] : reply.headers)
        response.insert(name, value);
    response.keep_alive(keepAlive);
    if (!isHead)
        response.body() = reply.body;
    response.content_length(reply.body.size());
    session->stream.expires_after(m_limits.responseTimeout);
    beast::error_code failed;
    co_await http::async_write(session->stream, response,
                               asio::redirect_error(asio::use_awaitable, failed));
    if (failed)
        m_metrics.count("answers_not_delivered_total");
    co_return !failed && keepAlive;
}

asio::awaitable<bool> CallerServer::refuse(SessionPtr session, Refusal refusal)
{
    m_metrics.countRefusal(refusal.reason);
    constexpr unsigned kHttpVersion = 11;
    co_await write(session, problemReply(refusal), kHttpVersion, false, false);
    beast::error_code failed;
    session->stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, failed);
    // Read on for a limited time. Closing a socket with unread data sends a TCP reset, which may
    // discard the refusal before the caller has read it.
    constexpr int kMaxLingerReads = 16;
    constexpr Millis kLingerTime{1000};
    session->stream.expires_after(kLingerTime);
    for (int count = 0; count < kMaxLingerReads && !failed; ++count) {
        std::array<char, 4096> discarded;
        co_await session->stream.async_read_some(asio::buffer(discarded),
                                                 asio::redirect_error(asio::use_awaitable, failed));
    }
    co_return false;
}

} // namespace oleanderhall
