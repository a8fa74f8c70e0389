#pragma once

#include "settings.h"

namespace oleanderhall {

/// Internal: runs an entry host until SIGINT or SIGTERM. Returns the exit code: 0 if every request
/// in flight was completed, 1 if some were cut off or a second signal ended the stop early. Throws
/// if a server can't listen on its address.
int runEntryHost(const Settings &settings);

} // namespace oleanderhall
