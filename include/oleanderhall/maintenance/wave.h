#pragma once

#include "oleanderhall/core/ids.h"
#include "oleanderhall/core/time.h"

#include <cstdint>
#include <vector>

namespace oleanderhall {

/// A requested maintenance wave: all of its hosts must be maintained within its duration.
struct Wave
{
    std::int64_t number = 0;
    std::vector<HostId> hosts;
    Millis duration{0}; ///< Counted from the request.
    int maxAtOnce = 1; ///< Limit for hosts under maintenance at the same time.
};

} // namespace oleanderhall
