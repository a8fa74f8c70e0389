#pragma once

#include <optional>
#include <string_view>

namespace oleanderhall {

/// Whether a service instance accepts requests yet.
enum class InstanceState { Starting, Ready };

/// Returns the name of `state` that the change log and reports use.
std::string_view nameOf(InstanceState state);
/// Returns the state with the given name, or nothing if the name is unknown.
std::optional<InstanceState> instanceStateFrom(std::string_view name);

} // namespace oleanderhall
