#pragma once

#include "oleanderhall/core/time.h"

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace oleanderhall {

/// One decision, for the log: what was decided and the inputs that decided it.
struct Decision
{
    const char *event = "";
    std::vector<std::pair<const char *, std::string>> fields;
    bool isWarning = false;
    std::optional<Millis> elapsed; ///< What led to it, where that is measured.
};

} // namespace oleanderhall
