// A TCP relay between processes, for tests of network partitions. It forwards each LISTEN=TARGET
// pair. SIGUSR1 cuts it: open connections go silent and new ones are accepted and go nowhere.
// SIGUSR2 mends it: connections that went silent are closed, new ones are forwarded again.
#include <utility>

#include <CLI/CLI.hpp>
#include <boost/asio.hpp>

#include <array>
#include <iostream>
#include <list>
#include <memory>

namespace asio = boost::asio;
using asio::ip::tcp;

namespace standin {

namespace {

constexpr std::size_t kBufferBytes = 16384;

tcp::endpoint endpointFrom(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    return {asio::ip::make_address(text.substr(0, colon)),
            static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1)))};
}

class Relay
{
public:
    explicit Relay(asio::io_context &io)
        : m_io(io)
        , m_signals(io, SIGUSR1, SIGUSR2)
    {
        asio::co_spawn(m_io, watchSignals(), asio::detached);
    }

    void add(const std::string &pair)
    {
        const std::size_t equals = pair.find('=');
        asio::co_spawn(
            m_io,
            acceptLoop(endpointFrom(pair.substr(0, equals)), endpointFrom(pair.substr(equals + 1))),
            asio::detached);
    }

private:
    struct Connection
    {
        explicit Connection(asio::io_context &io)
            : client(io)
            , server(io)
        {}

        tcp::socket client;
        tcp::socket server;
        bool isStalled = false;
    };
    using ConnectionPtr = std::shared_ptr<Connection>;

    asio::awaitable<void> watchSignals()
    {
        for (;;) {
            const int signal = co_await m_signals.async_wait(asio::use_awaitable);
            m_isPartitioned = signal == SIGUSR1;
            for (const std::weak_ptr<Connection> &item : m_connections) {
                const ConnectionPtr link = item.lock();
                if (!link)
                    continue;
                if (m_isPartitioned)
                    link->isStalled = true;
                else if (link->isStalled)
                    close(*link);
            }
            m_connections.remove_if(
                [](const std::weak_ptr<Connection> &item) { return item.expired(); });
        }
    }

    asio::awaitable<void> acceptLoop(tcp::endpoint listen, tcp::endpoint target)
    {
        tcp::acceptor acceptor(m_io, listen);
        for (;;) {
            auto link = std::make_shared<Connection>(m_io);
            co_await acceptor.async_accept(link->client, asio::use_awaitable);
            link->isStalled = m_isPartitioned;
            m_connections.push_back(link);
            m_connections.remove_if(
                [](const std::weak_ptr<Connection> &item) { return item.expired(); });
            asio::co_spawn(m_io, start(link, target), asio::detached);
        }
    }

    asio::awaitable<void> start(ConnectionPtr link, tcp::endpoint target)
    {
        boost::system::error_code failed;
        co_await link->server.async_connect(target,
                                            asio::redirect_error(asio::use_awaitable, failed));
        if (failed) {
            close(*link);
            co_return;
        }
        asio::co_spawn(m_io, forward(link, link->client, link->server), asio::detached);
        asio::co_spawn(m_io, forward(link, link->server, link->client), asio::detached);
    }

    asio::awaitable<void> forward(ConnectionPtr link, tcp::socket &from, tcp::socket &to)
    {
        std::array<char, kBufferBytes> buffer;
        boost::system::error_code failed;
        while (!failed) {
            const std::size_t size = co_await from.async_read_some(
                asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, failed));
            if (failed || link->isStalled)
                continue;
            co_await asio::async_write(to, asio::buffer(buffer, size),
                                       asio::redirect_error(asio::use_awaitable, failed));
        }
        if (!link->isStalled)
            close(*link);
    }

    static void close(Connection &link)
    {
        boost::system::error_code ignored;
        link.client.close(ignored);
        link.server.close(ignored);
    }

    asio::io_context &m_io;
    asio::signal_set m_signals;
    bool m_isPartitioned = false;
    std::list<std::weak_ptr<Connection>> m_connections;
};

} // namespace

} // namespace standin

int main(int argc, char **argv)
{
    CLI::App app{"TCP relay that can be cut"};
    std::vector<std::string> pairs;
    app.add_option("pairs", pairs, "LISTEN=TARGET, each IP:PORT")->required();
    CLI11_PARSE(app, argc, argv);
    asio::io_context io;
    standin::Relay relay(io);
    for (const std::string &pair : pairs)
        relay.add(pair);
    io.run();
    return 0;
}
