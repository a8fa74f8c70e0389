#pragma once

#include "oleanderhall/core/ids.h"

namespace oleanderhall {

/// A PoolRule is the availability budget of a pool. A planned disruption is admitted only when the
/// pool keeps all three limits afterwards, planned and unplanned unavailability counted together.
struct PoolRule
{
    PoolId id;
    int minAvailable = 0; ///< Hosts that must stay available.
    int maxUnavailable = 1; ///< Hosts that may be unavailable at a time.
    int maxDisruptedRacks = 1; ///< Racks in which hosts may be unavailable for a planned reason.

    friend bool operator==(const PoolRule &, const PoolRule &) = default;
};

} // namespace oleanderhall
