#pragma once

#include "oleanderhall/core/time.h"
#include "oleanderhall/register/servicerule.h"

#include <string>
#include <utility>
#include <vector>

namespace oleanderhall {

/// Internal: header fields in the order in which they came.
using HeaderList = std::vector<std::pair<std::string, std::string>>;

/// Internal: a caller's request after all checks.
struct Call
{
    ServiceRule rule;
    std::string method;
    std::string target; ///< Path and query below the service's own path.
    HeaderList headers; ///< End-to-end fields only.
    std::string body;
    Instant received;
    Instant deadline;
    bool isUnrepeatable = false;
    std::string idempotencyKey;
};

/// Internal: what goes back to the caller.
struct Reply
{
    int status = 0;
    HeaderList headers;
    std::string body;
};

} // namespace oleanderhall
