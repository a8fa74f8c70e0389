#pragma once

#include <array>
#include <string_view>

namespace oleanderhall {

/// Why a caller's request was refused and got no response from an upstream. Each reason has a
/// stable name, an HTTP status code and a counter.
enum class RefusalReason {
    BadRequest,
    HeaderTooLarge,
    BodyTooLarge,
    RequestTooSlow,
    TooManyConnections,
    UnknownService,
    BadTimeout,
    MissingIdempotencyKey,
    InvalidIdempotencyKey,
    IdempotencyKeyReused,
    DuplicateInProgress,
    AlreadyExecuted,
    EarlierOutcomeUnknown,
    ClaimsUnavailable,
    NoView,
    NoUpstream,
    Overloaded,
    TimeoutTooShort,
    QueueTimeout,
    UpstreamUnreachable,
    UpstreamRefused,
    RetryBudgetSpent,
    UpstreamTimeout,
    UpstreamBroken,
    Stopping,
};

/// The number of refusal reasons. Keep Stopping the last enumerator.
inline constexpr int kRefusalReasonCount = static_cast<int>(RefusalReason::Stopping) + 1;

/// Returns the stable name used in refusal bodies and in metrics.
std::string_view nameOf(RefusalReason reason);
/// Returns the HTTP status code of a refusal with this reason.
int statusOf(RefusalReason reason);

} // namespace oleanderhall
