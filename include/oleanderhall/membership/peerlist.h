#pragma once

#include "oleanderhall/core/time.h"
#include "oleanderhall/membership/peer.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace oleanderhall {

/// The result of a call that was forwarded to a peer.
enum class PeerResult {
    Answered, ///< The peer handled the call.
    Refused, ///< The call had no effect: the peer can't use the table either or is busy.
    NotSent, ///< The peer could not be reached; it has received nothing.
    Lost, ///< The call may have been sent, but no answer came.
};

/// A PeerList holds the fleet nodes as last read from the table and chooses to which of them a call
/// is forwarded. A peer that fails isn't chosen for a pause; after the pause it gets one call at a
/// time until it answers. Lists of two nodes may differ: then two nodes write for a partition,
/// which costs throughput and nothing else.
class PeerList
{
public:
    /// The age of a row after which its node counts as gone: three registrations were missed.
    static constexpr Millis kRowLifetime{100000};
    /// The age after which a row may be deleted, so that the table doesn't collect rows of nodes
    /// that never return.
    static constexpr Millis kRowRetention{3600000};
    /// The most calls in flight to one peer; each occupies one connection.
    static constexpr int kMaxCallsPerPeer = 16;

    explicit PeerList(const Peer &self);

    /// Replaces all rows by `rows`, which were read at `tableClockMs` of the table's steady clock.
    /// What is known about the failures of a peer stays while its address is the same.
    void update(const std::vector<Peer> &rows, std::int64_t tableClockMs);

    /// Returns a peer that may be sent a call now, or nothing. None of `tried` is returned, and
    /// peers in zones other than theirs are preferred, as a zone can be cut off. Of the rest, the
    /// one with the fewest calls for its processor share is returned.
    std::optional<Peer> choosePeer(const std::vector<Peer> &tried, Instant now);
    /// Returns the node that writes the jobs of `partition` while the table is slow; it may be this
    /// node. Only nodes with at least half the largest processor share write, as long as one of
    /// them is usable.
    Peer writerOf(std::string_view partition, Instant now) const;
    /// Returns whether a call may be sent to `id` now.
    bool mayCall(EntryId id, Instant now) const;

    /// Records that a call is sent to `id`. Each call ends with onEnded().
    void onSent(EntryId id);
    void onEnded(EntryId id, PeerResult result, Instant now);

    EntryId self() const { return m_self.id; }
    /// Returns the number of other nodes with a fresh row.
    std::size_t size() const { return m_members.size(); }
    /// Returns the nodes whose rows may be deleted.
    const std::vector<EntryId> &expired() const { return m_expired; }

private:
    struct Member
    {
        Peer peer;
        int callsInFlight = 0;
        bool isSuspected = false; ///< Its last call failed.
        Instant unusableUntil{};
    };

    static bool isUsable(const Member &member, Instant now);

    Peer m_self;
    std::map<EntryId, Member> m_members; ///< Other nodes with a fresh row.
    std::vector<EntryId> m_expired;
    std::minstd_rand m_random; ///< Chooses among equals, so that nodes don't choose the same peer.
};

} // namespace oleanderhall
