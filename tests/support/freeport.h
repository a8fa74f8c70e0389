#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>

namespace oleanderhall::test {

/// Returns a loopback port on which nothing listens, so that several runs of the tests can share a
/// host. The system gives a port again only after many others.
inline std::uint16_t freePort()
{
    boost::asio::io_context io;
    const boost::asio::ip::tcp::acceptor acceptor(io,
                                                  {boost::asio::ip::make_address("127.0.0.1"), 0});
    return acceptor.local_endpoint().port();
}

} // namespace oleanderhall::test
