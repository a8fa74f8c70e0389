#pragma once

#include <string>

namespace oleanderhall {

/// Selects the requests that must be executed at most once, by method and by path prefix. The
/// prefix is relative to the service's own path.
struct UnrepeatableCall
{
    std::string method;
    std::string pathPrefix;

    friend bool operator==(const UnrepeatableCall &, const UnrepeatableCall &) = default;
};

} // namespace oleanderhall
