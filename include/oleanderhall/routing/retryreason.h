#pragma once

#include <string_view>

namespace oleanderhall {

/// Why a request was tried again at an upstream.
enum class RetryReason { ConnectFailed, UpstreamRefused, StaleConnection, TimedOut, BrokenAnswer };

/// How many retry reasons there are.
inline constexpr int kRetryReasonCount = static_cast<int>(RetryReason::BrokenAnswer) + 1;

/// Returns the stable name that counters use.
std::string_view nameOf(RetryReason reason);

} // namespace oleanderhall
