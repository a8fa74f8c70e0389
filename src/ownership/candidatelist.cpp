#include "oleanderhall/ownership/candidatelist.h"

#include <algorithm>

namespace oleanderhall {

void CandidateList::onAnnouncement(const std::string &name, const Candidate &candidate,
                                   std::uint64_t version, bool isFresh, Instant now)
{
    std::erase_if(m_entries,
                  [now](const auto &known) { return now - known.second.readAt > kLifetime; });
    Entry &entry = m_entries[name];
    if (version <= entry.version)
        return; // read before
    entry.candidate = candidate;
    entry.version = version;
    entry.readAt = now;
    if (isFresh)
        entry.freshAt = now;
}

double CandidateList::highestCapability(const std::string &self, Instant now) const
{
    double highest = 0;
    for (const auto &[name, entry] : m_entries) {
        if (name != self && now - entry.readAt <= kLifetime)
            highest = std::max(highest, entry.candidate.capability());
    }
    return highest;
}

std::optional<Instant> CandidateList::lastAnnouncementAbove(double capability) const
{
    std::optional<Instant> last;
    for (const auto &[name, entry] : m_entries) {
        if (entry.freshAt && isOutranked(capability, entry.candidate.capability()))
            last = std::max(last, entry.freshAt);
    }
    return last;
}

std::optional<double> CandidateList::capabilityOf(const std::string &name, Instant now) const
{
    const auto found = m_entries.find(name);
    if (found == m_entries.end() || now - found->second.readAt > kLifetime)
        return std::nullopt;
    return found->second.candidate.capability();
}

} // namespace oleanderhall
