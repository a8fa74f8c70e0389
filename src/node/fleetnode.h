#pragma once

#include "nodesettings.h"

namespace oleanderhall {

/// Internal: runs one fleet node until a stop signal; returns its exit code. Throws when it can't
/// listen on its addresses.
int runFleetNode(const NodeSettings &settings);

} // namespace oleanderhall
