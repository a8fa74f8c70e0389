#include "oleanderhall/membership/peerlist.h"

#include "oleanderhall/membership/rendezvous.h"

#include <algorithm>
#include <functional>
#include <tuple>

namespace oleanderhall {

namespace {

// A node's estimate of the table's clock may be ahead by the duration of a slow call.
constexpr std::int64_t kClockToleranceMs = 10000;
constexpr double kMinCores = 0.01; // keeps a load comparable if a row has no share
// Pauses after a failure. A peer whose answer was lost may be frozen: each further lost answer
// leaves a caller without the outcome, so its pause is the longest.
constexpr Millis kNotSentPause{2000};
constexpr Millis kRefusedPause{1000};
constexpr Millis kLostPause{8000};

Millis pauseAfter(PeerResult result)
{
    switch (result) {
    case PeerResult::Answered:
        return Millis(0);
    case PeerResult::Refused:
        return kRefusedPause;
    case PeerResult::NotSent:
        return kNotSentPause;
    case PeerResult::Lost:
        return kLostPause;
    }
    return kLostPause;
}

} // namespace

PeerList::PeerList(const Peer &self)
    : m_self(self)
    , m_random(static_cast<std::minstd_rand::result_type>(std::hash<std::string>()(self.id.name())))
{}

void PeerList::update(const std::vector<Peer> &rows, std::int64_t tableClockMs)
{
    std::map<EntryId, Member> members;
    m_expired.clear();
    for (const Peer &row : rows) {
        const std::int64_t ageMs = tableClockMs - row.writtenMs;
        if (row.id == m_self.id)
            continue;
        if (ageMs > kRowRetention.count())
            m_expired.push_back(row.id);
        if (ageMs > kRowLifetime.count() || ageMs < -kClockToleranceMs)
            continue;
        Member member{.peer = row};
        const auto known = m_members.find(row.id);
        if (known != m_members.end() && known->second.peer.address == row.address) {
            member = known->second;
            member.peer = row;
        }
        members.emplace(row.id, std::move(member));
    }
    m_members = std::move(members);
}

bool PeerList::isUsable(const Member &member, Instant now)
{
    if (now < member.unusableUntil)
        return false;
    return member.callsInFlight < (member.isSuspected ? 1 : kMaxCallsPerPeer);
}

bool PeerList::mayCall(EntryId id, Instant now) const
{
    const auto found = m_members.find(id);
    return found != m_members.end() && isUsable(found->second, now);
}

std::optional<Peer> PeerList::choosePeer(const std::vector<Peer> &tried, Instant now)
{
    const Member *best = nullptr;
    std::tuple<bool, double, std::uint64_t> bestRank;
    for (const auto &[id, member] : m_members) {
        const auto isSame = [candidate = id](const Peer &peer) { return peer.id == candidate; };
        const auto isNear = [zone = member.peer.zone](const Peer &peer) {
            return peer.zone == zone;
        };
        if (!isUsable(member, now) || std::any_of(tried.begin(), tried.end(), isSame))
            continue;
        const std::tuple rank(std::any_of(tried.begin(), tried.end(), isNear),
                              (member.callsInFlight + 1)
                                  / std::max(member.peer.processorCores, kMinCores),
                              std::uint64_t{m_random()});
        if (best && rank >= bestRank)
            continue;
        best = &member;
        bestRank = rank;
    }
    return best ? std::optional(best->peer) : std::nullopt;
}

Peer PeerList::writerOf(std::string_view partition, Instant now) const
{
    std::vector<const Peer *> usable{&m_self};
    for (const auto &[id, member] : m_members) {
        // A peer with many calls in flight still is the writer, so that the choice is stable.
        const bool isBeingTested = member.isSuspected && member.callsInFlight > 0;
        if (now >= member.unusableUntil && !isBeingTested)
            usable.push_back(&member.peer);
    }
    double largest = 0;
    for (const Peer *peer : usable)
        largest = std::max(largest, peer->processorCores);
    std::vector<EntryId> candidates;
    for (const Peer *peer : usable) {
        if (peer->processorCores >= largest / 2)
            candidates.push_back(peer->id);
    }
    const std::optional<EntryId> writer = rendezvous(partition, candidates);
    if (!writer || *writer == m_self.id)
        return m_self;
    return m_members.at(*writer).peer;
}

void PeerList::onSent(EntryId id)
{
    const auto found = m_members.find(id);
    if (found != m_members.end())
        ++found->second.callsInFlight;
}

void PeerList::onEnded(EntryId id, PeerResult result, Instant now)
{
    const auto found = m_members.find(id);
    if (found == m_members.end())
        return; // gone from the list since the call was sent
    Member &member = found->second;
    member.callsInFlight = std::max(0, member.callsInFlight - 1);
    member.isSuspected = result != PeerResult::Answered;
    if (member.isSuspected)
        member.unusableUntil = std::max(member.unusableUntil, now + pauseAfter(result));
}

} // namespace oleanderhall
