#pragma once

#include "oleanderhall/core/ids.h"

#include <cstdint>
#include <string>

namespace oleanderhall {

/// A MemberRow is what an entry host writes to the platform's table as its heartbeat.
struct MemberRow
{
    EntryId id;
    ZoneId zone;
    std::string peerAddress; ///< IP number and port of its side for other entry hosts.
    std::string incarnation; ///< Differs after each start.
    std::uint64_t heartbeatCount = 0; ///< Grows with each heartbeat.
    Sequence acknowledged; ///< It dispatches only by views at least this new.
    ConfigVersion config; ///< The configuration in force on it.
    bool leaving = false; ///< It is in a planned stop.

    friend bool operator==(const MemberRow &, const MemberRow &) = default;
};

/// Returns the row as stored in the table.
std::string encodeMember(const MemberRow &row);
/// Parses what encodeMember() wrote. Throws InvalidDocument.
MemberRow parseMember(const std::string &text);

} // namespace oleanderhall
