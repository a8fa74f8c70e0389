#pragma once

#include "oleanderhall/core/ids.h"
#include "oleanderhall/core/time.h"
#include "oleanderhall/register/unrepeatablecall.h"

#include <cstdint>
#include <vector>

namespace oleanderhall {

/// A ServiceRule says where a service's instances run, what each can take and which of its calls
/// may not be repeated.
struct ServiceRule
{
    ServiceId id;
    PoolId pool;
    int instances = 1;
    std::uint16_t port = 0; ///< Unique to the service, so an old view can't reach another service.
    int slots = 8; ///< Requests that one instance runs at a time.
    int connections = 64; ///< Connections that one instance accepts.
    Millis defaultTimeout{2000};
    std::vector<UnrepeatableCall> unrepeatable;
    std::vector<int> notRunStatuses; ///< Status codes by which an instance refuses before work.

    friend bool operator==(const ServiceRule &, const ServiceRule &) = default;
};

} // namespace oleanderhall
