#pragma once

#include "oleanderhall/core/time.h"
#include "oleanderhall/fleet/fleetstate.h"

#include <string>
#include <vector>

namespace oleanderhall {

/// Internal: what a peer answered to a pull.
struct PullResult
{
    Sequence sequence;
    Millis viewAge{0};
    std::vector<LogEntry> entries;
    bool needsSnapshot = false;
};

/// Internal: a peer's whole state.
struct PeerSnapshot
{
    FleetState state;
    Millis viewAge{0};
};

/// Internal: asks another entry host for what it knows of the log. Each call has a channel of its
/// own. Throws PlatformUnavailable when the peer doesn't answer or its answer is malformed.
class PeerClient
{
public:
    PeerClient(std::string address, Millis timeout);

    PullResult pull(Sequence after);
    PeerSnapshot snapshot();

private:
    std::string m_address;
    Millis m_timeout;
};

} // namespace oleanderhall
