#include "oleanderhall/teams/teamusage.h"

#include <algorithm>

namespace oleanderhall {

namespace {

std::int64_t lowerLimit(std::int64_t a, std::int64_t b)
{
    if (a == 0 || b == 0)
        return std::max(a, b); // 0 means no limit
    return std::min(a, b);
}

Resources lowerLimits(const Resources &a, const Resources &b)
{
    return {.milliCores = lowerLimit(a.milliCores, b.milliCores),
            .memoryMb = lowerLimit(a.memoryMb, b.memoryMb),
            .gpus = lowerLimit(a.gpus, b.gpus)};
}

bool isWithin(std::int64_t used, std::int64_t need, int count, std::int64_t limit)
{
    if (limit == 0 || need == 0)
        return true;
    return used + need * count <= limit || (used == 0 && count == 1);
}

} // namespace

void TeamUsage::setTeams(ConfigVersion version, const std::vector<TeamConfig> &teams, Instant now)
{
    if (version < m_version)
        return;
    for (const TeamConfig &team : teams) {
        const auto [entry, isNew] = m_caps.try_emplace(
            team.id, Cap{.latest = team.maxRunning, .earlier = team.maxRunning, .changed = now});
        Cap &cap = entry->second;
        if (isNew || cap.latest == team.maxRunning)
            continue;
        cap.earlier = inForce(cap, now);
        cap.latest = team.maxRunning;
        cap.changed = now;
    }
    m_version = version;
    m_isConfigured = true;
}

Resources TeamUsage::inForce(const Cap &cap, Instant now) const
{
    return now - cap.changed < kCapRaiseDelay ? lowerLimits(cap.latest, cap.earlier) : cap.latest;
}

void TeamUsage::addRunning(TeamId team, const Resources &need)
{
    if (!team.empty())
        m_amounts[team].running += need;
}

void TeamUsage::removeRunning(TeamId team, const Resources &need)
{
    if (!team.empty())
        m_amounts[team].running -= need;
}

void TeamUsage::setPossible(const std::map<TeamId, Resources> &possible)
{
    for (auto &[team, amounts] : m_amounts)
        amounts.possible = {};
    for (const auto &[team, amount] : possible)
        m_amounts[team].possible = amount;
}

bool TeamUsage::admits(TeamId team, const Resources &need, int count, Instant now) const
{
    const Resources limit = cap(team, now);
    const Amounts counted = amounts(team);
    const Resources used = counted.running + counted.possible;
    return isWithin(used.milliCores, need.milliCores, count, limit.milliCores)
        && isWithin(used.memoryMb, need.memoryMb, count, limit.memoryMb)
        && isWithin(used.gpus, need.gpus, count, limit.gpus);
}

Resources TeamUsage::cap(TeamId team, Instant now) const
{
    const auto found = m_caps.find(team);
    return found == m_caps.end() ? Resources() : inForce(found->second, now);
}

TeamUsage::Amounts TeamUsage::amounts(TeamId team) const
{
    const auto found = m_amounts.find(team);
    return found == m_amounts.end() ? Amounts() : found->second;
}

} // namespace oleanderhall
