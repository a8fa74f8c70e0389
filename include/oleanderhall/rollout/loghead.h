#pragma once

#include "oleanderhall/core/ids.h"

#include <string>

namespace oleanderhall {

/// The head of the change log: a small row that entry hosts poll to detect changes.
struct LogHead
{
    Sequence sequence;
    ConfigVersion configVersion;
    std::string baseKey; ///< Key of the object with the base configuration, or empty.
    ConfigVersion baseVersion; ///< Version of the base configuration.

    friend bool operator==(const LogHead &, const LogHead &) = default;
};

/// Returns the JSON text of `head` that is stored in the table.
std::string encodeHead(const LogHead &head);
/// Parses the output of encodeHead(). Throws InvalidDocument with all findings.
LogHead parseHead(const std::string &text);

} // namespace oleanderhall
