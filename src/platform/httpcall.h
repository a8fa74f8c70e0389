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
struct HttpResult
{
    int status = 0;
    std::string body;
};

/// Internal: throws PlatformUnavailable unless `answer`, which came from `url`, has status 200.
void requireOk(const HttpResult &answer, const std::string &url);

/// Internal: makes the call on a connection of its own. Throws PlatformUnavailable when nothing was
/// sent, OutcomeUnknown when something may have been.
HttpResult callPlatform(const HttpCall &call);

/// Internal: makes a call without effect, for which an unknown outcome is a plain failure and which
/// may be sent twice. Each thread keeps its connections for such calls; they are given up after any
/// failure, so that one gone silent costs one call. Throws PlatformUnavailable unless the answer
/// has status 200.
std::string fetchFromPlatform(const HttpCall &call);

} // namespace oleanderhall
