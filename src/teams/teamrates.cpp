#include "oleanderhall/teams/teamrates.h"

namespace oleanderhall {

namespace {

constexpr Millis kSlotLength{100}; // bounds the memory for a team, whatever its rate

} // namespace

void TeamRates::add(TeamId team, Instant at)
{
    std::map<Instant, int> &slots = m_slots[team];
    ++slots[at - at.time_since_epoch() % kSlotLength];
    const Instant newest = slots.rbegin()->first;
    std::erase_if(slots, [&](const auto &slot) { return slot.first + m_window < newest; });
}

int TeamRates::count(TeamId team, Instant now) const
{
    const auto slots = m_slots.find(team);
    if (slots == m_slots.end())
        return 0;
    int jobs = 0;
    for (const auto &[start, amount] : slots->second)
        jobs += start + m_window >= now ? amount : 0;
    return jobs;
}

double TeamRates::rate(TeamId team, Instant now) const
{
    return count(team, now) / std::chrono::duration<double>(m_window).count();
}

} // namespace oleanderhall
