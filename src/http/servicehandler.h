#pragma once

#include "callerserver.h"

namespace oleanderhall {

class Dispatcher;
class RouteTable;

/// Internal: returns the handler that dispatches callers' requests to upstreams and serves the
/// health checks /livez and /readyz. While `isReady` returns false, requests are refused, unless
/// the entry host is draining. What is passed by reference must outlive the handler.
RequestHandler makeServiceHandler(Dispatcher &dispatcher, const RouteTable &routes,
                                  Metrics &metrics, std::function<bool()> isReady,
                                  const std::atomic<bool> &isDraining);

} // namespace oleanderhall
