#include "oleanderhall/membership/rendezvous.h"

#include <xxhash.h>

#include <utility>

namespace oleanderhall {

namespace {

std::uint64_t weight(PoolId pool, EntryId entry)
{
    const std::string key = pool.name() + '\n' + entry.name();
    return XXH3_64bits(key.data(), key.size());
}

} // namespace

std::optional<EntryId> ownerOf(PoolId pool, const std::vector<EntryId> &live)
{
    std::optional<EntryId> best;
    std::uint64_t bestWeight = 0;
    for (const EntryId entry : live) {
        const std::uint64_t candidate = weight(pool, entry);
        if (best && std::make_pair(candidate, entry) <= std::make_pair(bestWeight, *best))
            continue;
        best = entry;
        bestWeight = candidate;
    }
    return best;
}

} // namespace oleanderhall
