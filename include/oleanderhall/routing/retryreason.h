#pragma once

#include <string_view>

namespace oleanderhall {

/// Why a request was sent to an upstream again.
enum class RetryReason { ConnectFailed, UpstreamRefused, StaleConnection, TimedOut, BrokenAnswer };

/// The number of retry reasons. Keep BrokenAnswer the last enumerator.
inline constexpr int kRetryReasonCount = static_cast<int>(RetryReason::BrokenAnswer) + 1;

/// Returns the stable name used in metrics.
std::string_view nameOf(RetryReason reason);

} // namespace oleanderhall
