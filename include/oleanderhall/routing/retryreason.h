#pragma once

#include <string_view>

namespace oleanderhall {

/// Why a request was sent to an upstream again.
enum class RetryReason {
    ConnectFailed,
    UpstreamRefused,
    StaleConnection,
    TimedOut,
    IncompleteResponse
};

/// The number of retry reasons. Keep IncompleteResponse the last enumerator.
inline constexpr int kRetryReasonCount = static_cast<int>(RetryReason::IncompleteResponse) + 1;

/// Returns the stable name used in metrics.
std::string_view nameOf(RetryReason reason);

} // namespace oleanderhall
