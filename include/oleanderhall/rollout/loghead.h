#pragma once

#include "oleanderhall/core/ids.h"

#include <string>

namespace oleanderhall {

/// A LogHead is the one small row that entry hosts read to learn whether anything changed.
struct LogHead
{
    Sequence sequence;
    ConfigVersion config;
    std::string baseKey; ///< The object that holds a whole configuration, or empty.
    ConfigVersion baseVersion; ///< The version of that configuration.

    friend bool operator==(const LogHead &, const LogHead &) = default;
};

/// Returns the head as stored in the table.
std::string encodeHead(const LogHead &head);
/// Parses what encodeHead() wrote. Throws InvalidDocument.
LogHead parseHead(const std::string &text);

} // namespace oleanderhall
