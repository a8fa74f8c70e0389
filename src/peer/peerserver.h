#pragma once

#include "oleanderhall/core/time.h"
#include "oleanderhall/fleet/fleetstate.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace oleanderhall {

/// Internal: what a PeerServer tells others, read under the owner's lock.
struct PeerSource
{
    /// Calls the visitor with the state while it can't change.
    std::function<void(const std::function<void(const FleetState &)> &)> withState;
    /// Returns the texts of the entries after a sequence, or false when they are no longer held.
    std::function<bool(Sequence, std::size_t, std::vector<std::string> &)> entriesAfter;
    std::function<Millis()> viewAge;
};

/// Internal: serves other entry hosts over gRPC.
class PeerServer
{
public:
    /// Starts to listen. Throws std::runtime_error when the address can't be had.
    PeerServer(const std::string &address, PeerSource source);
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
