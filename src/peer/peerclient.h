#pragma once

#include "oleanderhall/core/time.h"
#include "oleanderhall/fleet/fleetstate.h"

#include <string>
#include <vector>

namespace oleanderhall {

/// Internal: a peer's response to a pull.
struct PullResult
{
    Sequence sequence; ///< The latest sequence that the peer has applied.
    Millis viewAge{0}; ///< The age of the peer's view of the fleet.
    std::vector<LogEntry> entries;
    bool needsSnapshot = false; ///< The peer no longer holds the entries; fetch a snapshot.
};

/// Internal: the complete state of a peer.
struct PeerSnapshot
{
    FleetState state;
    Millis viewAge{0};
};

/// Internal: pulls log entries and state snapshots from another entry host over gRPC. Each call
/// uses a new channel. Throws PlatformUnavailable when the peer doesn't respond in time or its
/// response is malformed.
class PeerClient
{
public:
    /// `timeout` limits each gRPC call. A snapshot may take several.
    PeerClient(std::string address, Millis timeout);

    /// Returns the log entries that follow `after`, up to a fixed number.
    PullResult pull(Sequence after);
    /// Returns the peer's state, which is fetched page by page.
    PeerSnapshot snapshot();

private:
    std::string m_address;
    Millis m_timeout;
};

} // namespace oleanderhall
