#pragma once

#include "oleanderhall/core/ids.h"

#include <cstdint>
#include <string>

namespace oleanderhall {

/// A command to one host: a move to another pool, or its maintenance as part of a wave. Both end
/// all work on the host.
struct HostCommand
{
    HostId host;
    PoolId targetPool; ///< The target pool of a move; empty for maintenance.
    std::int64_t wave = 0; ///< The wave's number; 0 for a move.
    std::string reason; ///< Shown to operators and auditors.

    bool isMove() const { return !targetPool.empty(); }
};

} // namespace oleanderhall
