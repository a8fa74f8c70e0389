#pragma once

#include "oleanderhall/core/time.h"

#include <map>
#include <string>

namespace oleanderhall {

/// The state of a host according to the platform's list of hosts.
enum class ListedState { Live, Leaving };

/// The platform's list of hosts, by name. The list may be out of date, so a host that is missing
/// from it may still be running.
using HostList = std::map<std::string, ListedState>;

/// Fetches the platform's list, which has the published Prometheus HTTP service discovery format.
/// Throws PlatformUnavailable.
HostList fetchHostList(const std::string &address, Millis timeout);

} // namespace oleanderhall
