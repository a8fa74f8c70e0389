#pragma once

#include "oleanderhall/teams/apikeydigest.h"
#include "oleanderhall/teams/teamconfig.h"

#include <cstddef>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace oleanderhall {

/// A TeamDirectory finds the team of a key. It is an immutable snapshot of one version of the
/// configuration; a later version gets a directory of its own.
class TeamDirectory
{
public:
    TeamDirectory() = default;
    explicit TeamDirectory(const std::vector<TeamConfig> &teams);

    /// Returns the team that `key` belongs to, or nothing if no team has it. The time does not
    /// depend on the number of keys, nor on which known key `key` resembles.
    std::optional<TeamId> find(std::string_view key) const;

private:
    struct DigestHash
    {
        std::size_t operator()(const ApiKeyDigest &digest) const;
    };

    std::unordered_map<ApiKeyDigest, TeamId, DigestHash> m_teams;
};

} // namespace oleanderhall
