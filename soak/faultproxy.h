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

/// Internal: a loopback TCP proxy in front of one server that injects faults into its connections.
/// Single-threaded; it must outlive the run of its io_context.
class FaultProxy
{
public:
    enum class Mode {
        Pass,
        Stall, ///< Holds back data in both directions until the mode changes.
        LoseResponses, ///< Delivers requests and discards all further responses of the connection.
        Refuse, ///< Resets new connections; open ones are unaffected.
    };

    FaultProxy(boost::asio::io_context &io, std::uint16_t port, std::uint16_t target);

    void setMode(Mode mode);
    /// Delays each chunk of data, in both directions.
    void setDelay(Millis delay);
    /// Returns whether data has been held back or lost since `time`.
    bool isDisturbedSince(Instant time) const;
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
    boost::asio::awaitable<void> serve(ConnectionPtr connection);
    boost::asio::awaitable<void> pump(ConnectionPtr connection, bool isResponse);
    static void close(Connection &connection);

    boost::asio::io_context &m_io;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::uint16_t m_target;
    Mode m_mode = Mode::Pass;
    Millis m_delay{0};
    Instant m_disturbanceEnded{}; ///< The latest end of a mode or delay.
    std::list<std::weak_ptr<Connection>> m_connections;
};

} // namespace oleanderhall::soak
