#pragma once

#include "oleanderhall/core/time.h"
#include "oleanderhall/fleet/observations.h"
#include "oleanderhall/membership/memberrow.h"

#include <map>
#include <string>
#include <vector>

namespace oleanderhall {

/// A MemberTable judges by its own monotonic clock which entry hosts still send heartbeats: a row
/// that doesn't change for the lapse time has lapsed. Clocks are never compared between hosts.
class MemberTable
{
public:
    /// The lapse time is `base` and `perMember` for each row, as heartbeats get rarer with size.
    MemberTable(Millis base, Millis perMember)
        : m_base(base)
        , m_perMember(perMember)
    {}

    /// Takes in the rows that a read returned. Rows that are missing are forgotten.
    void update(const std::vector<MemberRow> &rows, Sequence seenAt, Instant now);

    /// Returns the entry hosts that may own control work: live and not leaving.
    std::vector<EntryId> ownerCandidates(Instant now) const;
    /// Returns the entry hosts that send heartbeats, leaving ones included.
    std::vector<MemberRow> live(Instant now) const;
    /// Returns every row as last read, however old.
    std::vector<MemberRow> all() const;
    std::vector<EntryObservation> observations(Instant now) const;
    /// Returns the ids whose rows have not changed for `age`.
    std::vector<EntryId> unchangedFor(Millis age, Instant now) const;
    Sequence seenAt() const { return m_seenAt; }
    std::size_t size() const { return m_members.size(); }

private:
    struct Member
    {
        MemberRow row;
        Instant changed;
    };

    bool hasExpired(const Member &member, Instant now) const;

    Millis m_base;
    Millis m_perMember;
    Sequence m_seenAt;
    std::map<EntryId, Member> m_members;
};

} // namespace oleanderhall
