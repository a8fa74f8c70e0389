#pragma once

#include "oleanderhall/core/ids.h"

#include <optional>
#include <vector>

namespace oleanderhall {

/// Returns the entry host among `live` that decides for `pool`, by rendezvous hashing: when one
/// entry host leaves, only its own pools pass to others. The choice only avoids double work; two
/// entry hosts that both believe to be chosen do no harm.
std::optional<EntryId> ownerOf(PoolId pool, const std::vector<EntryId> &live);

} // namespace oleanderhall
