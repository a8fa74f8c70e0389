#pragma once

#include "settings.h"

namespace oleanderhall {

/// Internal: runs an entry host until it was told to stop. Returns the exit code.
int runEntryHost(const Settings &settings);

} // namespace oleanderhall
