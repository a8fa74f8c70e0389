#pragma once

#include "oleanderhall/core/time.h"

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace oleanderhall {

/// A decision for the log: its event name and the inputs that led to it.
struct Decision
{
    const char *event = "";
    std::vector<std::pair<const char *, std::string>> fields;
    bool isWarning = false;
    /// Time since the job was accepted; recorded as a metric if set.
    std::optional<Millis> elapsed;
};

} // namespace oleanderhall
