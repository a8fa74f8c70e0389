#pragma once

#include "oleanderhall/core/ids.h"

#include <cstdint>
#include <string>

namespace oleanderhall {

/// An Endpoint is one upstream: a service instance on a host in one epoch of that host.
struct Endpoint
{
    HostId host;
    ZoneId zone;
    Epoch epoch;
    std::string address;
    std::uint16_t port = 0;

    friend bool operator==(const Endpoint &, const Endpoint &) = default;
};

} // namespace oleanderhall
