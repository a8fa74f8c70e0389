#pragma once

#include <optional>
#include <string_view>

namespace oleanderhall {

/// Where a maintenance wave stands.
enum class WaveStatus { Running, Paused, Stopped, Done };

/// Returns the status's name as it stands in the log and in reports.
std::string_view nameOf(WaveStatus status);
/// Returns the status that `name` names, or nothing.
std::optional<WaveStatus> waveStatusFrom(std::string_view name);

} // namespace oleanderhall
