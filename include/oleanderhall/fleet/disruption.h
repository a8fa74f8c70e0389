#pragma once

#include <optional>
#include <string_view>

namespace oleanderhall {

/// The reason for which a host was taken out of service.
enum class Disruption {
    None, ///< In service, or unavailable without a planned reason.
    Reboot, ///< A maintenance wave reboots the host.
    Move, ///< The register assigns the host to another pool.
    Remove, ///< The register no longer lists the host.
    Leave, ///< The platform reports that it is withdrawing the host.
};

/// Returns the name of `disruption` that the change log and reports use.
std::string_view nameOf(Disruption disruption);
/// Returns the disruption with the given name, or nothing if the name is unknown.
std::optional<Disruption> disruptionFrom(std::string_view name);

} // namespace oleanderhall
