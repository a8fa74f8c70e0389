#include "oleanderhall/membership/rendezvous.h"

#include <xxhash.h>

#include <utility>

namespace oleanderhall {

namespace {

std::uint64_t weight(std::string_view key, EntryId entry)
{
    const std::string text = std::string(key) + '\n' + entry.name();
    return XXH3_64bits(text.data(), text.size());
}

} // namespace

std::optional<EntryId> rendezvous(std::string_view key, const std::vector<EntryId> &candidates)
{
    std::optional<EntryId> best;
    std::uint64_t bestWeight = 0;
    for (const EntryId entry : candidates) {
        const std::uint64_t candidate = weight(key, entry);
        if (best && std::make_pair(candidate, entry) <= std::make_pair(bestWeight, *best))
            continue;
        best = entry;
        bestWeight = candidate;
    }
    return best;
}

std::optional<EntryId> ownerOf(PoolId pool, const std::vector<EntryId> &live)
{
    return rendezvous(pool.name(), live);
}

} // namespace oleanderhall
