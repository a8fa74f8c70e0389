#include <utility>

#include "instance.h"

#include <boost/asio.hpp>
#include <boost/beast.hpp>

namespace standin {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr int kDefaultWorkMs = 5;
constexpr int kSlowExtraMs = 1000;
constexpr int kSilentDurationMs = 60000;

using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

int workMs(const Request &request)
{
    const auto header = request.find("X-Work-Ms");
    if (header == request.end())
        return kDefaultWorkMs;
    return std::atoi(std::string(header->value()).c_str());
}

asio::awaitable<void> pause(int milliseconds)
{
    asio::steady_timer timer(co_await asio::this_coro::executor,
                             std::chrono::milliseconds(milliseconds));
    co_await timer.async_wait(asio::use_awaitable);
}

Response responseTo(const Request &request, http::status status, std::string body, bool keepAlive)
{
    Response response(status, request.version());
    response.set(http::field::content_type, "application/json");
    response.keep_alive(keepAlive);
    response.body() = std::move(body);
    response.prepare_payload();
    return response;
}

std::string requestIdOf(const Request &request)
{
    const auto header = request.find("X-Request-Id");
    return header == request.end() ? "none" : std::string(header->value());
}

} // namespace

struct Instance::Connection
{
    explicit Connection(Socket accepted)
        : socket(std::move(accepted))
    {}

    Socket socket;
    beast::flat_buffer buffer;
    std::atomic<bool> isBusy{false};
};

Instance::Instance(asio::io_context &io, InstanceSettings settings, ExecutionLog &log)
    : m_io(io)
    , m_settings(std::move(settings))
    , m_log(log)
    , m_acceptor(asio::make_strand(io))
{}

void Instance::start()
{
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(m_settings.address),
                                           m_settings.port);
    m_acceptor.open(endpoint.protocol());
    m_acceptor.set_option(asio::socket_base::reuse_address(true));
    m_acceptor.bind(endpoint);
    m_acceptor.listen();
    asio::co_spawn(
        m_acceptor.get_executor(), [self = shared_from_this()] { return self->acceptLoop(); },
        asio::detached);
}

void Instance::stopGracefully()
{
    m_isStopping = true;
    asio::post(m_acceptor.get_executor(), [self = shared_from_this()] {
        beast::error_code ignored;
        self->m_acceptor.close(ignored);
    });
    const std::lock_guard lock(m_mutex);
    for (const auto &connection : m_connections) {
        asio::post(connection->socket.get_executor(), [connection] {
            beast::error_code ignored;
            if (!connection->isBusy)
                connection->socket.close(ignored);
        });
    }
}

void Instance::kill()
{
    m_isKilled = true;
    m_isStopping = true;
    asio::post(m_acceptor.get_executor(), [self = shared_from_this()] {
        beast::error_code ignored;
        self->m_acceptor.close(ignored);
    });
    const std::lock_guard lock(m_mutex);
    for (const auto &connection : m_connections) {
        asio::post(connection->socket.get_executor(), [connection] {
            beast::error_code ignored;
            connection->socket.close(ignored);
        });
    }
}

asio::awaitable<void> Instance::acceptLoop()
{
    for (;;) {
        beast::error_code failed;
        Socket socket(asio::make_strand(m_io));
        co_await m_acceptor.async_accept(socket, asio::redirect_error(asio::use_awaitable, failed));
        if (failed)
            co_return;
        if (m_connectionCount >= m_settings.connections)
            continue;
        socket.set_option(asio::ip::tcp::no_delay(true), failed);
        auto connection = std::make_shared<Connection>(std::move(socket));
        {
            const std::lock_guard lock(m_mutex);
            m_connections.insert(connection);
        }
        ++m_connectionCount;
        asio::co_spawn(
            connection->socket.get_executor(),
            [self = shared_from_this(), connection] { return self->serve(connection); },
            asio::detached);
    }
}

asio::awaitable<void> Instance::serve(std::shared_ptr<Connection> connection)
{
    try {
        while (co_await serveOne(connection)) {}
    } catch (const std::exception &) {
        // The connection failed; it is removed below.
    }
    const std::lock_guard lock(m_mutex);
    m_connections.erase(connection);
    --m_connectionCount;
}

asio::awaitable<bool> Instance::serveOne(std::shared_ptr<Connection> connection)
{
    Request request;
    co_await http::async_read(connection->socket, connection->buffer, request, asio::use_awaitable);
    connection->isBusy = true;
    const InstanceFault fault = m_fault;
    if (fault == InstanceFault::CloseUnprocessed)
        co_return false;
    if (fault == InstanceFault::Silent) {
        co_await pause(kSilentDurationMs);
        co_return false;
    }
    if (m_requestsInFlight >= m_settings.slots) {
        auto refusal = responseTo(request, http::status::service_unavailable, "{}", !m_isStopping);
        co_await http::async_write(connection->socket, refusal, asio::use_awaitable);
        connection->isBusy = false;
        co_return !m_isStopping;
    }
    if (fault == InstanceFault::ImmediateError) {
        auto error = responseTo(request, http::status::internal_server_error, "{}", true);
        co_await http::async_write(connection->socket, error, asio::use_awaitable);
        connection->isBusy = false;
        co_return !m_isStopping;
    }
    ++m_requestsInFlight;
    const std::string requestId = requestIdOf(request);
    const std::size_t execution = m_log.start({requestId, m_settings.host, m_settings.service});
    co_await pause(workMs(request) + (fault == InstanceFault::Slow ? kSlowExtraMs : 0));
    --m_requestsInFlight;
    if (m_isKilled)
        co_return false;
    m_log.end(execution);
    const std::string body = "{\"request\":\"" + requestId + "\",\"service\":\""
        + m_settings.service + "\",\"host\":\"" + m_settings.host + "\"}";
    auto response = responseTo(request, http::status::ok, body, !m_isStopping);
    if (fault == InstanceFault::TruncateResponse) {
        co_await asio::async_write(
            connection->socket,
            asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n{\"req")),
            asio::use_awaitable);
        co_return false;
    }
    co_await http::async_write(connection->socket, response, asio::use_awaitable);
    connection->isBusy = false;
    co_return !m_isStopping;
}

} // namespace standin
