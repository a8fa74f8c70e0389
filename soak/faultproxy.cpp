#include "faultproxy.h"

#include <boost/asio.hpp>

#include <array>

namespace oleanderhall::soak {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr std::size_t kBufferBytes = 16384;
constexpr Millis kModeCheck{20};

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
        auto link = std::make_shared<Connection>(m_io);
        co_await m_acceptor.async_accept(link->client, asio::use_awaitable);
        std::erase_if(m_connections, [](const auto &known) { return known.expired(); });
        m_connections.push_back(link);
        asio::co_spawn(m_io, serve(link), asio::detached);
    }
}

asio::awaitable<void> FaultProxy::serve(ConnectionPtr link)
{
    if (m_mode == Mode::Refuse) {
        close(*link);
        co_return;
    }
    boost::system::error_code failed;
    co_await link->server.async_connect({asio::ip::make_address("127.0.0.1"), m_target},
                                        asio::redirect_error(asio::use_awaitable, failed));
    if (failed) {
        close(*link);
        co_return;
    }
    asio::co_spawn(m_io, pump(link, true), asio::detached);
    co_await pump(link, false);
}

asio::awaitable<void> FaultProxy::pump(ConnectionPtr link, bool isAnswer)
{
    tcp::socket &from = isAnswer ? link->server : link->client;
    tcp::socket &to = isAnswer ? link->client : link->server;
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
            co_await wait(m_io, kModeCheck);
        link->losesResponses = link->losesResponses || (isAnswer && m_mode == Mode::LoseResponses);
        if (isAnswer && link->losesResponses)
            continue; // what follows would be taken for the answer that was lost
        co_await asio::async_write(to, asio::buffer(buffer, size),
                                   asio::redirect_error(asio::use_awaitable, failed));
    }
    close(*link);
}

void FaultProxy::resetConnections()
{
    for (const auto &known : m_connections) {
        if (const auto link = known.lock())
            close(*link);
    }
}

void FaultProxy::close(Connection &link)
{
    boost::system::error_code ignored;
    for (tcp::socket *socket : {&link.client, &link.server}) {
        socket->set_option(asio::socket_base::linger(true, 0), ignored);
        socket->close(ignored);
    }
}

} // namespace oleanderhall::soak
