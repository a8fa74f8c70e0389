#pragma once

#include "oleanderhall/core/ids.h"

#include <cstdint>
#include <string>

namespace oleanderhall {

/// An order to one host: a move to another pool, or its maintenance as part of a wave. Either ends
/// everything that runs on the host.
struct HostCommand
{
    HostId host;
    ServiceId pool; ///< Of a move: the new pool. Empty for maintenance.
    std::int64_t wave = 0; ///< Of maintenance.
    std::string reason; ///< For operators and auditors.

    bool isMove() const { return !pool.empty(); }
};

} // namespace oleanderhall
