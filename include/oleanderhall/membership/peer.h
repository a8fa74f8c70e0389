#pragma once

#include "oleanderhall/core/ids.h"

#include <cstdint>
#include <string>

namespace oleanderhall {

/// A Peer is a fleet node as it has registered itself in the table, so that others can pass
/// callers' calls on to it.
struct Peer
{
    EntryId id;
    ZoneId zone;
    std::string address; ///< IP:PORT on which it serves other nodes.
    double processorCores = 0; ///< Its processor time, in cores.
    std::int64_t writtenMs = 0; ///< When it registered last, on the table's steady clock.

    friend bool operator==(const Peer &, const Peer &) = default;
};

/// Returns `peer` encoded as JSON for the table. Its id is the row's key and not part of it.
std::string encodePeer(const Peer &peer);
/// Decodes what encodePeer() returned, for the row with key `id`. Throws InvalidDocument if `text`
/// is invalid.
Peer parsePeer(const std::string &id, const std::string &text);

} // namespace oleanderhall
