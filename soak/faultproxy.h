#pragma once

#include <utility>

#include "oleanderhall/core/time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <list>
#include <memory>

namespace oleanderhall::soak {

/// Internal: a loopback proxy in front of one server that harms the connections through it. One
/// thread; it must outlive its io_context's run.
class FaultProxy
{
public:
    enum class Mode {
        Pass,
        Stall, ///< Bytes stay on the way, in both directions, and arrive afterwards.
        LoseResponses, ///< Requests arrive; their answers never do, on these connections.
        Refuse, ///< New connections are reset.
    };

    FaultProxy(boost::asio::io_context &io, std::uint16_t port, std::uint16_t target);

    void setMode(Mode mode) { m_mode = mode; }
    void setDelay(Millis delay) { m_delay = delay; }
    /// Resets all open connections.
    void resetConnections();

private:
    struct Connection
    {
        explicit Connection(boost::asio::io_context &io)
            : client(io)
            , server(io)
        {}

        boost::asio::ip::tcp::socket client;
        boost::asio::ip::tcp::socket server;
        bool losesResponses = false;
    };
    using ConnectionPtr = std::shared_ptr<Connection>;

    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(ConnectionPtr link);
    boost::asio::awaitable<void> pump(ConnectionPtr link, bool isAnswer);
    static void close(Connection &link);

    boost::asio::io_context &m_io;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::uint16_t m_target;
    Mode m_mode = Mode::Pass;
    Millis m_delay{0};
    std::list<std::weak_ptr<Connection>> m_connections;
};

} // namespace oleanderhall::soak
