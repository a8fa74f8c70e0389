#pragma once

#include "settings.h"

#include <functional>
#include <memory>
#include <string>

namespace oleanderhall {

class Metrics;
class OperatorApi;

/// Internal: the operators' side of the entry host: health, metrics and the operators' calls, on an
/// address of its own that callers don't reach.
class OperatorServer
{
public:
    /// Starts to listen. Throws when the address can't be had.
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
