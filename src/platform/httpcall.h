#pragma once

#include "oleanderhall/core/time.h"

#include <optional>
#include <string>
#include <vector>

namespace oleanderhall {

/// Internal: an HTTP call to the platform.
struct HttpCall
{
    std::string method;
    std::string url;
    std::vector<std::pair<std::string, std::string>> headers;
    std::optional<std::string> body;
    Millis timeout{1000};
};

/// Internal: the answer to an HttpCall.
struct HttpAnswer
{
    int status = 0;
    std::string body;
};

/// Internal: makes the call on a connection of its own. Throws PlatformUnavailable when nothing was
/// sent, OutcomeUnknown when something may have been.
HttpAnswer callPlatform(const HttpCall &call);

/// Internal: calls by a method without effect, for which an unknown outcome is a plain failure.
/// Throws PlatformUnavailable unless the answer has status 200.
std::string fetchFromPlatform(const HttpCall &call);

} // namespace oleanderhall
