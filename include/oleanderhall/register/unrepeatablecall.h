#pragma once

#include <string>

namespace oleanderhall {

/// An UnrepeatableCall names requests that must run at most once: a method and a path prefix below
/// the service's own path.
struct UnrepeatableCall
{
    std::string method;
    std::string pathPrefix;

    friend bool operator==(const UnrepeatableCall &, const UnrepeatableCall &) = default;
};

} // namespace oleanderhall
