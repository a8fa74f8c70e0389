#pragma once

#include "oleanderhall/core/time.h"
#include "oleanderhall/fleet/observations.h"
#include "oleanderhall/membership/memberrow.h"

#include <map>
#include <string>
#include <vector>

namespace oleanderhall {

/// A MemberTable determines which entry hosts still send heartbeats. A row expires when it has not
/// changed for the expiry time on this process's monotonic clock; clocks of different hosts are
/// never compared.
class MemberTable
{
public:
    /// The expiry time is `base` plus `perMember` for each row, as the interval between heartbeats
    /// grows with the number of entry hosts.
    MemberTable(Millis base, Millis perMember)
        : m_base(base)
        , m_perMember(perMember)
    {}

    /// Replaces all rows by `rows`, which were read when the state had the sequence `seenAt`. Rows
    /// that have not changed keep the time of their last change.
    void update(const std::vector<MemberRow> &rows, Sequence seenAt, Instant now);

    /// Returns the entry hosts that may own pools: those that are live and not leaving.
    std::vector<EntryId> ownerCandidates(Instant now) const;
    /// Returns the rows that have not expired, including those of leaving entry hosts.
    std::vector<MemberRow> live(Instant now) const;
    /// Returns all rows as last read, including expired ones.
    std::vector<MemberRow> all() const;
    std::vector<EntryHostObservation> observations(Instant now) const;
    /// Returns the entry hosts whose rows have not changed for at least `age`.
    std::vector<EntryId> unchangedFor(Millis age, Instant now) const;
    /// Returns the sequence that was passed to the last update().
    Sequence seenAt() const { return m_seenAt; }
    std::size_t size() const { return m_members.size(); }

private:
    struct Member
    {
        MemberRow row;
        Instant changed; ///< When the last change was read.
    };

    bool hasExpired(const Member &member, Instant now) const;

    Millis m_base;
    Millis m_perMember;
    Sequence m_seenAt;
    std::map<EntryId, Member> m_members;
};

} // namespace oleanderhall
