#pragma once

#include "oleanderhall/core/time.h"

#include <map>
#include <string>

namespace oleanderhall {

/// What the platform's list says of a name on it.
enum class ListedState { Live, Leaving };

/// The platform's lagging list of hosts, by name. A name that is missing may still live.
using HostList = std::map<std::string, ListedState>;

/// Reads the platform's list in the published Prometheus HTTP service discovery format. Throws
/// PlatformUnavailable.
HostList fetchHostList(const std::string &address, Millis timeout);

} // namespace oleanderhall
