#include "faultproxy.h"

#include "oleanderhall/core/clock.h"

#include <boost/asio.hpp>

#include <array>

namespace oleanderhall::soak {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr std::size_t kBufferBytes = 16384;
constexpr Millis kModeCheckInterval{20};

asio::awaitable<void> wait(asio::io_context &io, Millis time)
{
    asio::steady_timer timer(io, time);
    co_await timer.async_wait(asio::use_awaitable);
}

} // namespace

FaultProxy::FaultProxy(asio::io_context &io, std::uint16_t port, std::uint16_t target)
    : m_io(io)
    , m_acceptor(io, {asio::ip::make_address("127.0.0.1"), port})
    , m_target(target)
{
    asio::co_spawn(m_io, accept(), asio::detached);
}

asio::awaitable<void> FaultProxy::accept()
{
    for (;;) {
        auto connection = std::make_shared<Connection>(m_io);
        co_await m_acceptor.async_accept(connection->client, asio::use_awaitable);
        std::erase_if(m_connections, [](const auto &entry) { return entry.expired(); });
        m_connections.push_back(connection);
        asio::co_spawn(m_io, serve(connection), asio::detached);
    }
}

asio::awaitable<void> FaultProxy::serve(ConnectionPtr connection)
{
    if (m_mode == Mode::Refuse) {
        close(*connection);
        co_return;
    }
    boost::system::error_code failed;
    co_await connection->server.async_connect({asio::ip::make_address("127.0.0.1"), m_target},
                                              asio::redirect_error(asio::use_awaitable, failed));
    if (failed) {
        close(*connection);
        co_return;
    }
    asio::co_spawn(m_io, pump(connection, true), asio::detached);
    co_await pump(connection, false);
}

asio::awaitable<void> FaultProxy::pump(ConnectionPtr connection, bool isResponse)
{
    tcp::socket &from = isResponse ? connection->server : connection->client;
    tcp::socket &to = isResponse ? connection->client : connection->server;
    std::array<char, kBufferBytes> buffer{};
    boost::system::error_code failed;
    while (!failed) {
        const std::size_t size = co_await from.async_read_some(
            asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, failed));
        if (failed)
            break;
        if (m_delay.count() > 0)
            co_await wait(m_io, m_delay);
        while (m_mode == Mode::Stall)
            co_await wait(m_io, kModeCheckInterval);
        connection->losesResponses = connection->losesResponses
            || (isResponse && m_mode == Mode::LoseResponses);
        if (isResponse && connection->losesResponses)
            continue; // the client would take a later response for the lost one
        co_await asio::async_write(to, asio::buffer(buffer, size),
                                   asio::redirect_error(asio::use_awaitable, failed));
    }
    close(*connection);
}

void FaultProxy::setMode(Mode mode)
{
    m_mode = mode;
    m_disturbanceEnded = monotonicNow();
}

void FaultProxy::setDelay(Millis delay)
{
    m_delay = delay;
    m_disturbanceEnded = monotonicNow();
}

bool FaultProxy::isDisturbedSince(Instant time) const
{
    return m_mode != Mode::Pass || m_delay.count() > 0 || m_disturbanceEnded >= time;
}

void FaultProxy::resetConnections()
{
    for (const auto &entry : m_connections) {
        if (const auto connection = entry.lock())
            close(*connection);
    }
}

void FaultProxy::close(Connection &connection)
{
    boost::system::error_code ignored;
    for (tcp::socket *socket : {&connection.client, &connection.server}) {
        socket->set_option(asio::socket_base::linger(true, 0), ignored);
        socket->close(ignored);
    }
}

} // namespace oleanderhall::soak
