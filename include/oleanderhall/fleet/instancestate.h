#pragma once

#include <optional>
#include <string_view>

namespace oleanderhall {

/// Whether a service instance takes requests yet.
enum class InstanceState { Starting, Ready };

/// Returns the state's name as it stands in the log and in reports.
std::string_view nameOf(InstanceState state);
/// Returns the state that `name` names, or nothing.
std::optional<InstanceState> instanceStateFrom(std::string_view name);

} // namespace oleanderhall
