#pragma once

#include <array>
#include <string_view>

namespace oleanderhall {

/// Why a caller's request got a refusal instead of an upstream's answer. Each has a stable name, a
/// status code and a counter.
enum class RefusalReason {
    BadRequest,
    HeaderTooLarge,
    BodyTooLarge,
    RequestTooSlow,
    TooManyConnections,
    UnknownService,
    BadTimeout,
    MissingKey,
    BadKey,
    KeyReused,
    DuplicateInProgress,
    AlreadyRan,
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

/// How many refusal reasons there are.
inline constexpr int kRefusalReasonCount = static_cast<int>(RefusalReason::Stopping) + 1;

/// Returns the stable name that callers and counters use.
std::string_view nameOf(RefusalReason reason);
/// Returns the HTTP status code of a refusal for this reason.
int statusOf(RefusalReason reason);

} // namespace oleanderhall
