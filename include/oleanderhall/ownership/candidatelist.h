#pragma once

#include "oleanderhall/core/time.h"
#include "oleanderhall/ownership/candidate.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace oleanderhall {

/// A CandidateList holds the capable processes that have announced themselves in the table. A
/// process is dropped when it has not announced itself for kLifetime, so a host that is gone for
/// good doesn't delay take-overs.
class CandidateList
{
public:
    /// How long a candidate is known after its announcement was read. It covers two announcements
    /// of a process that is idle (CandidacyTimer::kInterval) and some lost ones.
    static constexpr Millis kLifetime{75000};

    /// Handles a process's row. `isFresh` means that it was written while this process was reading
    /// the table, and not at an unknown earlier time.
    void onAnnouncement(const std::string &name, const Candidate &candidate, std::uint64_t version,
                        bool isFresh, Instant now);
    /// Returns the highest capability of the known candidates other than `self`; 0 without any.
    double highestCapability(const std::string &self, Instant now) const;
    /// Returns when the latest fresh announcement of a candidate that outranks `capability` was
    /// read.
    std::optional<Instant> lastAnnouncementAbove(double capability) const;
    /// Returns the capability of a process; nothing if it is not known.
    std::optional<double> capabilityOf(const std::string &name, Instant now) const;
    std::size_t size() const { return m_entries.size(); }

private:
    struct Entry
    {
        Candidate candidate;
        std::uint64_t version = 0;
        Instant readAt;
        std::optional<Instant> freshAt; ///< When the last fresh announcement was read.
    };

    std::map<std::string, Entry> m_entries;
};

} // namespace oleanderhall
