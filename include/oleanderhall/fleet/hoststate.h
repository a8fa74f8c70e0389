#pragma once

#include <optional>
#include <string_view>

namespace oleanderhall {

/// The lifecycle states of a host. Only a Serving host accepts new work.
enum class HostState {
    Joining, ///< Assigned to its pool, not yet observed healthy.
    Serving, ///< Healthy; may run service instances.
    Draining, ///< Accepts no new work; its instances finish their active requests.
    Stopped, ///< Runs no instances.
    Rebooting, ///< Commanded to reboot, not yet back.
    Failed, ///< Failed while in service, or did not come back from a reboot.
};

/// Returns the name of `state` that the change log and reports use.
std::string_view nameOf(HostState state);
/// Returns the state with the given name, or nothing if the name is unknown.
std::optional<HostState> hostStateFrom(std::string_view name);

} // namespace oleanderhall
