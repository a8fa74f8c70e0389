#pragma once

#include "settings.h"

#include <functional>
#include <memory>
#include <string>

namespace oleanderhall {

class Metrics;
class OperatorApi;

/// Internal: the HTTP server for operators: health checks, metrics and the operators' API. It
/// listens on an address of its own, separate from that for callers.
class OperatorServer
{
public:
    /// Starts to listen on `address`. Throws if the address can't be bound.
    OperatorServer(const SocketAddress &address, OperatorApi &api, Metrics &metrics,
                   std::function<bool()> isReady);
    ~OperatorServer();
    OperatorServer(const OperatorServer &) = delete;
    OperatorServer &operator=(const OperatorServer &) = delete;

private:
    struct Listener;

    std::unique_ptr<Listener> m_listener;
};

} // namespace oleanderhall
