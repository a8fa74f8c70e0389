#pragma once

#include "oleanderhall/core/ids.h"

#include <cstdint>
#include <string>

namespace oleanderhall {

/// A MemberRow is the row that an entry host writes to the platform's table as its heartbeat.
struct MemberRow
{
    EntryId id;
    ZoneId zone;
    std::string peerAddress; ///< IP address and port for connections of other entry hosts.
    std::string incarnation; ///< Differs after each start of the process.
    std::uint64_t heartbeatCount = 0; ///< Increases with each heartbeat.
    /// The entry host dispatches requests only with views of at least this sequence.
    Sequence acknowledged;
    ConfigVersion config; ///< The configuration that it currently uses.
    bool leaving = false; ///< It is stopping as planned.

    friend bool operator==(const MemberRow &, const MemberRow &) = default;
};

/// Returns `row` encoded as JSON for the table.
std::string encodeMember(const MemberRow &row);
/// Decodes what encodeMember() returned. Throws InvalidDocument if `text` is invalid.
MemberRow parseMember(const std::string &text);

} // namespace oleanderhall
