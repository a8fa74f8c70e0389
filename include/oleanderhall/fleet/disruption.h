#pragma once

#include <optional>
#include <string_view>

namespace oleanderhall {

/// Why a host was taken out of service.
enum class Disruption {
    None, ///< Not taken out, or lost without a plan.
    Reboot, ///< A maintenance wave reboots it.
    Move, ///< The register moves it to another pool.
    Remove, ///< The register no longer names it.
    Leave, ///< The platform says that it is leaving.
};

/// Returns the disruption's name as it stands in the log and in reports.
std::string_view nameOf(Disruption disruption);
/// Returns the disruption that `name` names, or nothing.
std::optional<Disruption> disruptionFrom(std::string_view name);

} // namespace oleanderhall
