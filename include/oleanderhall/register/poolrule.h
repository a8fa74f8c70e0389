#pragma once

#include "oleanderhall/core/ids.h"

namespace oleanderhall {

/// The availability budget of a pool. A planned disruption is admitted only if the pool stays
/// within all three limits. Hosts that are unavailable without a plan count against the first two.
struct PoolRule
{
    PoolId id;
    int minAvailable = 0; ///< Hosts that must stay available.
    int maxUnavailable = 1; ///< Hosts that may be unavailable at the same time.
    int maxDisruptedRacks = 1; ///< Racks in which hosts may be unavailable for a planned reason.

    friend bool operator==(const PoolRule &, const PoolRule &) = default;
};

} // namespace oleanderhall
