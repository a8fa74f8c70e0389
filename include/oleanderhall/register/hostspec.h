#pragma once

#include "oleanderhall/core/ids.h"

#include <cstdint>
#include <string>

namespace oleanderhall {

/// A HostSpec is one line of the operators' asset register: where a host stands, what it has and
/// the one pool that it belongs to.
struct HostSpec
{
    HostId id;
    ZoneId zone;
    RackId rack;
    PoolId pool;
    std::string address; ///< IP number on which the host's service instances listen.
    std::uint16_t cores = 0;
    std::uint16_t memoryGb = 0;

    friend bool operator==(const HostSpec &, const HostSpec &) = default;
};

} // namespace oleanderhall
