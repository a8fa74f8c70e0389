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
    std::optional<Millis> elapsed; ///< Duration that ended with this decision, if measured.
};

} // namespace oleanderhall
