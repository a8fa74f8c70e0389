#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <stdexcept>
#include <vector>

#include <unistd.h>

namespace oleanderhall::test {

/// Returns the first of `count` successive loopback ports that are free now. Processes begin their
/// search at different ports, so that tests can run several times at once on one machine.
inline std::uint16_t freePorts(int count)
{
    using boost::asio::ip::tcp;
    constexpr int kFirst = 10000;
    constexpr int kEnd = 32000; // the system gives ports above this to clients
    constexpr int kPortsPerProcess = 200;
    static int next = kFirst + getpid() * kPortsPerProcess % (kEnd - kFirst);
    boost::asio::io_context io;
    for (int tried = kFirst; tried < kEnd; ++tried) {
        if (next + count > kEnd)
            next = kFirst;
        const int first = next;
        next += count;
        std::vector<tcp::acceptor> acceptors;
        boost::system::error_code failed;
        for (int port = first; port < first + count && !failed; ++port) {
            tcp::acceptor &acceptor = acceptors.emplace_back(io, tcp::v4());
            acceptor.set_option(tcp::acceptor::reuse_address(true));
            acceptor.bind(
                {boost::asio::ip::make_address_v4("127.0.0.1"), static_cast<std::uint16_t>(port)},
                failed);
        }
        if (!failed)
            return static_cast<std::uint16_t>(first);
    }
    throw std::runtime_error("no free ports");
}

} // namespace oleanderhall::test
