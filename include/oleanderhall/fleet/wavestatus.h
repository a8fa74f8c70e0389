#pragma once

#include <optional>
#include <string_view>

namespace oleanderhall {

/// The status of a maintenance wave.
enum class WaveStatus { Running, Paused, Stopped, Done };

/// Returns the name of `status` that the change log and reports use.
std::string_view nameOf(WaveStatus status);
/// Returns the status with the given name, or nothing if the name is unknown.
std::optional<WaveStatus> waveStatusFrom(std::string_view name);

} // namespace oleanderhall
