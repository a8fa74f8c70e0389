#pragma once

#include <optional>
#include <string_view>

namespace oleanderhall {

/// The states through which a host passes. Only a Serving host takes new work.
enum class HostState {
    Joining, ///< Assigned to its pool, not yet seen fit.
    Serving, ///< Fit; may carry service instances.
    Draining, ///< Takes no new work; its instances finish what they have.
    Stopped, ///< Runs nothing.
    Rebooting, ///< Told to reboot, not yet back.
    Failed, ///< Lost without a plan, or did not come back.
};

/// Returns the state's name as it stands in the log and in reports.
std::string_view nameOf(HostState state);
/// Returns the state that `name` names, or nothing.
std::optional<HostState> hostStateFrom(std::string_view name);

} // namespace oleanderhall
