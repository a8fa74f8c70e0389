#pragma once

#include "oleanderhall/core/ids.h"

#include <cstdint>
#include <string>

namespace oleanderhall {

/// A host in the operators' asset register: its location, its resources and the single pool to
/// which it is assigned.
struct HostSpec
{
    HostId id;
    ZoneId zone;
    RackId rack;
    PoolId pool;
    std::string address; ///< IP address on which the host's service instances listen.
    std::uint16_t cores = 0;
    std::uint16_t memoryGb = 0;

    friend bool operator==(const HostSpec &, const HostSpec &) = default;
};

} // namespace oleanderhall
