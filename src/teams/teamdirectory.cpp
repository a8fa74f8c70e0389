#include "oleanderhall/teams/teamdirectory.h"

#include <cstring>

namespace oleanderhall {

// The bytes of a cryptographic digest are evenly distributed, so some of them make a good hash.
std::size_t TeamDirectory::DigestHash::operator()(const ApiKeyDigest &digest) const
{
    std::size_t hash = 0;
    std::memcpy(&hash, digest.bytes().data(), sizeof hash);
    return hash;
}

TeamDirectory::TeamDirectory(const std::vector<TeamConfig> &teams)
{
    for (const TeamConfig &team : teams) {
        for (const ApiKeyDigest &key : team.keys)
            m_teams.emplace(key, team.id);
    }
}

std::optional<TeamId> TeamDirectory::find(std::string_view key) const
{
    if (key.empty())
        return std::nullopt;
    const auto found = m_teams.find(digestOf(key));
    return found == m_teams.end() ? std::nullopt : std::optional(found->second);
}

} // namespace oleanderhall
