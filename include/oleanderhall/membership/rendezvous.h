#pragma once

#include "oleanderhall/core/ids.h"

#include <optional>
#include <string_view>
#include <vector>

namespace oleanderhall {

/// Returns the entry host among `candidates` that rendezvous hashing assigns to `key`, or nothing
/// if there are none. When an entry host leaves, only its own keys get another one.
std::optional<EntryId> rendezvous(std::string_view key, const std::vector<EntryId> &candidates);

/// Returns the entry host among `live` that makes the decisions for `pool`, or nothing if `live` is
/// empty. It is chosen by rendezvous hashing: when an entry host leaves, only its own pools get
/// another owner. The choice only avoids duplicate work; it is safe if two entry hosts with
/// different lists both consider themselves the owner.
std::optional<EntryId> ownerOf(PoolId pool, const std::vector<EntryId> &live);

} // namespace oleanderhall
