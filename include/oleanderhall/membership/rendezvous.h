#pragma once

#include "oleanderhall/core/ids.h"

#include <optional>
#include <vector>

namespace oleanderhall {

/// Returns the entry host among `live` that makes the decisions for `pool`, or nothing if `live` is
/// empty. It is chosen by rendezvous hashing: when an entry host leaves, only its own pools get
/// another owner. The choice only avoids duplicate work; it is safe if two entry hosts with
/// different lists both consider themselves the owner.
std::optional<EntryId> ownerOf(PoolId pool, const std::vector<EntryId> &live);

} // namespace oleanderhall
