#pragma once

#include "oleanderhall/core/time.h"

#include <optional>
#include <string>
#include <vector>

namespace oleanderhall {

/// Internal: an HTTP request to the platform.
struct PlatformCall
{
    std::string method;
    std::string url;
    std::vector<std::pair<std::string, std::string>> headers;
    std::optional<std::string> body;
    Millis timeout{1000};
};

/// Internal: the response to an PlatformCall.
struct PlatformResponse
{
    int status = 0;
    std::string body;
};

/// Internal: throws PlatformUnavailable unless `response`, which `url` returned, has status 200.
void requireOk(const PlatformResponse &response, const std::string &url);

/// Internal: sends the request once, on a new connection. Throws PlatformUnavailable when nothing
/// was sent and OutcomeUnknown when some or all of the request may have been sent.
PlatformResponse callPlatform(const PlatformCall &call);

/// Internal: sends a request without side effects and returns the response body. The request may be
/// sent twice, and an unknown outcome is reported as a failure. Connections are kept per thread and
/// server and dropped after any failure, so that an unresponsive connection fails only one call.
/// Throws PlatformUnavailable unless the response has status 200.
std::string fetchFromPlatform(const PlatformCall &call);

} // namespace oleanderhall
