#pragma once

#include "oleanderhall/core/time.h"
#include "oleanderhall/fleet/fleetstate.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace oleanderhall {

/// Internal: access to the data that a PeerServer serves. The functions are called from the
/// server's threads and must do the necessary locking.
struct PeerSource
{
    /// Calls the visitor with the state, which can't change during the call.
    std::function<void(const std::function<void(const FleetState &)> &)> withState;
    /// Appends up to the given number of serialized entries after a sequence. Returns false when
    /// the log no longer holds them.
    std::function<bool(Sequence, std::size_t, std::vector<std::string> &)> entriesAfter;
    /// Returns the age of the view of the fleet.
    std::function<Millis()> viewAge;
};

/// Internal: serves log entries and state snapshots to other entry hosts over gRPC.
class PeerServer
{
public:
    /// Starts the server. Throws std::runtime_error when it can't listen on `address`.
    PeerServer(const std::string &address, PeerSource source);
    /// Stops the server. Calls in progress are cancelled after 500 ms.
    ~PeerServer();
    PeerServer(const PeerServer &) = delete;
    PeerServer &operator=(const PeerServer &) = delete;

private:
    class Service;
    struct GrpcServer;

    std::unique_ptr<Service> m_service;
    std::unique_ptr<GrpcServer> m_grpcServer;
};

} // namespace oleanderhall
