#pragma once

#include "oleanderhall/core/time.h"
#include "oleanderhall/register/servicerule.h"

#include <string>
#include <utility>
#include <vector>

namespace oleanderhall {

/// Internal: header fields in the order in which they were received.
using HeaderList = std::vector<std::pair<std::string, std::string>>;

/// Internal: a caller's request that passed all checks.
struct Call
{
    ServiceRule rule;
    std::string method;
    std::string target; ///< Path and query, without the service's path prefix.
    HeaderList headers; ///< End-to-end fields only; see isHopByHop().
    std::string body;
    Instant received;
    Instant deadline; ///< `received` plus the request's timeout or the service's default.
    /// Whether the service's rule marks this method and path as not idempotent. Such a call needs
    /// an idempotency key.
    bool isUnrepeatable = false;
    std::string idempotencyKey; ///< Empty if the request has none.
};

/// Internal: the response that is returned to the caller.
struct Reply
{
    int status = 0;
    HeaderList headers;
    std::string body;
};

} // namespace oleanderhall
