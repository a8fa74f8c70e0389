#pragma once

#include "oleanderhall/core/time.h"
#include "oleanderhall/ownership/candidate.h"

#include <optional>

namespace oleanderhall {

/// A CandidacyTimer decides when a process announces itself as a candidate in the table. Only
/// processes with sufficient processor time do, so that small hosts let them take over first; a
/// deployment of small hosts has no announcements and no such wait.
class CandidacyTimer
{
public:
    /// Between the announcements of a process while the owner is alive and at least as capable.
    static constexpr Millis kInterval{30000};
    /// The shortest time between two announcements.
    static constexpr Millis kUrgentInterval{1000};

    /// Returns whether `self` should announce itself now. `isUrgent` means that the owner is not
    /// heard of or less capable, so that others need to know that this process is alive.
    bool isDue(const Candidate &self, bool isUrgent, Instant now) const
    {
        if (self.processorCores < kSufficientCores)
            return false;
        if (!m_last)
            return true;
        const bool hasChanged = self.isBehind() != m_wasBehind;
        return now - *m_last >= (isUrgent || hasChanged ? kUrgentInterval : kInterval);
    }
    void onAnnounced(const Candidate &self, Instant now)
    {
        m_last = now;
        m_wasBehind = self.isBehind();
    }

private:
    std::optional<Instant> m_last;
    bool m_wasBehind = false;
};

} // namespace oleanderhall
