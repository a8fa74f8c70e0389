#include "oleanderhall/routing/refusalreason.h"

#include "oleanderhall/routing/executionstatus.h"
#include "oleanderhall/routing/retryreason.h"

namespace oleanderhall {

namespace {

struct ReasonInfo
{
    RefusalReason reason;
    std::string_view name;
    int status;
};

constexpr std::array<ReasonInfo, kRefusalReasonCount> kReasons{{
    {RefusalReason::BadRequest, "bad_request", 400},
    {RefusalReason::HeaderTooLarge, "header_too_large", 431},
    {RefusalReason::BodyTooLarge, "body_too_large", 413},
    {RefusalReason::RequestTooSlow, "request_too_slow", 408},
    {RefusalReason::TooManyConnections, "too_many_connections", 503},
    {RefusalReason::UnknownService, "unknown_service", 404},
    {RefusalReason::BadTimeout, "bad_timeout", 400},
    {RefusalReason::MissingIdempotencyKey, "missing_key", 400},
    {RefusalReason::InvalidIdempotencyKey, "bad_key", 400},
    {RefusalReason::IdempotencyKeyReused, "key_reused", 422},
    {RefusalReason::DuplicateInProgress, "duplicate_in_progress", 409},
    {RefusalReason::AlreadyExecuted, "already_ran", 409},
    {RefusalReason::EarlierOutcomeUnknown, "earlier_outcome_unknown", 409},
    {RefusalReason::ClaimsUnavailable, "claims_unavailable", 503},
    {RefusalReason::NoView, "no_view", 503},
    {RefusalReason::NoUpstream, "no_upstream", 503},
    {RefusalReason::Overloaded, "overloaded", 503},
    {RefusalReason::TimeoutTooShort, "timeout_too_short", 503},
    {RefusalReason::QueueTimeout, "queue_timeout", 503},
    {RefusalReason::UpstreamUnreachable, "upstream_unreachable", 502},
    {RefusalReason::UpstreamRefused, "upstream_refused", 503},
    {RefusalReason::RetryBudgetSpent, "retry_budget_spent", 503},
    {RefusalReason::UpstreamTimeout, "upstream_timeout", 504},
    {RefusalReason::UpstreamBroken, "upstream_broken", 502},
    {RefusalReason::Stopping, "stopping", 503},
}};

constexpr bool isOrdered()
{
    for (int index = 0; index < kRefusalReasonCount; ++index) {
        if (static_cast<int>(kReasons[index].reason) != index)
            return false;
    }
    return true;
}
static_assert(isOrdered(), "kReasons must be in the order of RefusalReason");

} // namespace

std::string_view nameOf(RefusalReason reason)
{
    return kReasons[static_cast<std::size_t>(reason)].name;
}

int statusOf(RefusalReason reason)
{
    return kReasons[static_cast<std::size_t>(reason)].status;
}

std::string_view nameOf(ExecutionStatus execution)
{
    constexpr std::array<std::string_view, 3> kNames{"no", "yes", "unknown"};
    return kNames[static_cast<std::size_t>(execution)];
}

std::string_view nameOf(RetryReason reason)
{
    constexpr std::array<std::string_view, kRetryReasonCount> kNames{
        "connect_failed", "upstream_refused", "stale_connection", "timed_out", "broken_answer"};
    return kNames[static_cast<std::size_t>(reason)];
}

} // namespace oleanderhall
