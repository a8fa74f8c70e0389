#include "oleanderhall/membership/membertable.h"

namespace oleanderhall {

void MemberTable::update(const std::vector<MemberRow> &rows, Sequence seenAt, Instant now)
{
    std::map<EntryId, Member> next;
    for (const MemberRow &row : rows) {
        const auto known = m_members.find(row.id);
        const bool isSame = known != m_members.end() && known->second.row == row;
        next.emplace(row.id, Member{row, isSame ? known->second.changed : now});
    }
    m_members = std::move(next);
    m_seenAt = seenAt;
}

std::vector<EntryId> MemberTable::ownerCandidates(Instant now) const
{
    std::vector<EntryId> result;
    for (const auto &[id, member] : m_members) {
        if (!hasExpired(member, now) && !member.row.leaving)
            result.push_back(id);
    }
    return result;
}

std::vector<MemberRow> MemberTable::live(Instant now) const
{
    std::vector<MemberRow> result;
    for (const auto &[id, member] : m_members) {
        if (!hasExpired(member, now))
            result.push_back(member.row);
    }
    return result;
}

std::vector<MemberRow> MemberTable::all() const
{
    std::vector<MemberRow> result;
    for (const auto &[id, member] : m_members)
        result.push_back(member.row);
    return result;
}

std::vector<EntryHostObservation> MemberTable::observations(Instant now) const
{
    std::vector<EntryHostObservation> result;
    for (const auto &[id, member] : m_members) {
        result.push_back({id, member.row.zone, member.row.acknowledged, hasExpired(member, now)});
    }
    return result;
}

std::vector<EntryId> MemberTable::unchangedFor(Millis age, Instant now) const
{
    std::vector<EntryId> result;
    for (const auto &[id, member] : m_members) {
        if (now - member.changed >= age)
            result.push_back(id);
    }
    return result;
}

bool MemberTable::hasExpired(const Member &member, Instant now) const
{
    const Millis expiryTime = m_base + m_perMember * m_members.size();
    return now - member.changed >= expiryTime;
}

} // namespace oleanderhall
