#pragma once

#include "oleanderhall/core/ids.h"
#include "oleanderhall/core/time.h"
#include "oleanderhall/register/unrepeatablecall.h"

#include <cstdint>
#include <vector>

namespace oleanderhall {

/// The configuration of a service: where its instances run, the capacity of each, and which
/// requests must not be retried.
struct ServiceRule
{
    ServiceId id;
    PoolId pool;
    int instances = 1;
    std::uint16_t port = 0; ///< Unique, so that an old view can't route to another service.
    int slots = 8; ///< Requests that one instance executes concurrently.
    int connections = 64; ///< Concurrent connections that one instance accepts.
    Millis defaultTimeout{2000};
    std::vector<UnrepeatableCall> unrepeatable;
    std::vector<int> notExecutedStatuses; ///< Status codes that mean the request was not executed.

    friend bool operator==(const ServiceRule &, const ServiceRule &) = default;
};

} // namespace oleanderhall
