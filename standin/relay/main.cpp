// TCP relay between processes, for tests of network partitions. It forwards each LISTEN=TARGET
// pair. SIGUSR1 starts a partition: data of open and new connections is discarded. SIGUSR2 ends it:
// connections from before or during the partition are closed, new ones are forwarded again.
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
            for (const std::weak_ptr<Connection> &entry : m_connections) {
                const ConnectionPtr connection = entry.lock();
                if (!connection)
                    continue;
                if (m_isPartitioned)
                    connection->isStalled = true;
                else if (connection->isStalled)
                    close(*connection);
            }
            m_connections.remove_if(
                [](const std::weak_ptr<Connection> &entry) { return entry.expired(); });
        }
    }

    asio::awaitable<void> acceptLoop(tcp::endpoint listen, tcp::endpoint target)
    {
        tcp::acceptor acceptor(m_io, listen);
        for (;;) {
            auto connection = std::make_shared<Connection>(m_io);
            co_await acceptor.async_accept(connection->client, asio::use_awaitable);
            connection->isStalled = m_isPartitioned;
            m_connections.push_back(connection);
            m_connections.remove_if(
                [](const std::weak_ptr<Connection> &entry) { return entry.expired(); });
            asio::co_spawn(m_io, start(connection, target), asio::detached);
        }
    }

    asio::awaitable<void> start(ConnectionPtr connection, tcp::endpoint target)
    {
        boost::system::error_code failed;
        co_await connection->server.async_connect(
            target, asio::redirect_error(asio::use_awaitable, failed));
        if (failed) {
            close(*connection);
            co_return;
        }
        asio::co_spawn(m_io, forward(connection, connection->client, connection->server),
                       asio::detached);
        asio::co_spawn(m_io, forward(connection, connection->server, connection->client),
                       asio::detached);
    }

    asio::awaitable<void> forward(ConnectionPtr connection, tcp::socket &from, tcp::socket &to)
    {
        std::array<char, kBufferBytes> buffer;
        boost::system::error_code failed;
        while (!failed) {
            const std::size_t size = co_await from.async_read_some(
                asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, failed));
            if (failed || connection->isStalled)
                continue;
            co_await asio::async_write(to, asio::buffer(buffer, size),
                                       asio::redirect_error(asio::use_awaitable, failed));
        }
        if (!connection->isStalled)
            close(*connection);
    }

    static void close(Connection &connection)
    {
        boost::system::error_code ignored;
        connection.client.close(ignored);
        connection.server.close(ignored);
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
    CLI::App app{"TCP relay that simulates network partitions"};
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
