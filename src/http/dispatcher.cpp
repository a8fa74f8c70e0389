#include <utility>

#include "dispatcher.h"

#include "problem.h"

#include "../daemon/metrics.h"

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <array>

namespace oleanderhall {

namespace asio = boost::asio;

namespace {

constexpr int kMaxAttempts = 4; // per request
constexpr int kMinLatencyMultiple = 3; // expected latencies that a shortened attempt must allow
constexpr Millis kMinAttemptTime{50}; // of a shortened attempt
constexpr Millis kRetryAfter{1000};

Instant timeNow()
{
    return std::chrono::steady_clock::now();
}

Millis elapsedSince(Instant start)
{
    return std::chrono::duration_cast<Millis>(timeNow() - start);
}

bool isNotRunStatus(const ServiceRule &rule, int status)
{
    return std::find(rule.notExecutedStatuses.begin(), rule.notExecutedStatuses.end(), status)
        != rule.notExecutedStatuses.end();
}

/// Returns the deadline of the next attempt. If the request may be retried, the attempt is
/// shortened to half of the remaining time, so that the other half is left for a retry. If half is
/// less than kMinLatencyMultiple expected latencies, the attempt is not shortened: cutting off an
/// attempt that would have succeeded wastes the upstream slot that it occupies.
Instant attemptDeadline(const Call &call, int attempts, Millis expectedLatency)
{
    const Instant now = timeNow();
    if (call.isUnrepeatable || attempts + 1 >= kMaxAttempts)
        return call.deadline;
    const auto half = std::chrono::duration_cast<Millis>((call.deadline - now) / 2);
    if (half < kMinLatencyMultiple * expectedLatency)
        return call.deadline;
    return std::min(call.deadline, now + std::max(half, kMinAttemptTime));
}

std::string headerValue(const HeaderList &headers, std::string_view wanted)
{
    for (const auto &[name, value] : headers) {
        if (boost::beast::iequals(name, {wanted.data(), wanted.size()}))
            return value;
    }
    return {};
}

std::string_view nameOf(UpstreamOutcome::Kind kind)
{
    constexpr std::array<std::string_view, 5> kNames{"answered", "nothing sent", "stale connection",
                                                     "timed out", "broken answer"};
    return kNames[static_cast<std::size_t>(kind)];
}

} // namespace

struct Dispatcher::Progress
{
    int attempts = 0;
    bool hasUnknownOutcome = false; ///< An attempt was sent and its outcome is unknown.
    std::vector<HostId> triedHosts;
    std::optional<ClaimHandle> claim;
    std::vector<std::string> steps;
};

Dispatcher::Dispatcher(DispatcherDependencies dependencies)
    : m_deps(dependencies)
    , m_budget(dependencies.retryPercent)
{}

asio::awaitable<Reply> Dispatcher::dispatch(Call call)
{
    Progress progress;
    m_deps.metrics.countFirstAttempt();
    {
        const std::lock_guard lock(m_budgetMutex);
        m_budget.countFirstAttempt(timeNow());
    }
    std::optional<Reply> reply;
    while (!reply) {
        if (timeNow() >= call.deadline)
            reply = refuse(
                call, progress,
                {RefusalReason::UpstreamTimeout, ExecutionStatus::NotExecuted, kRetryAfter});
        else
            reply = co_await attempt(call, progress);
    }
    progress.steps.push_back("status " + std::to_string(reply->status));
    m_deps.traces.add({headerValue(call.headers, "X-Request-Id"), call.rule.id.name(),
                       std::move(progress.steps)});
    co_return std::move(*reply);
}

asio::awaitable<std::optional<Reply>> Dispatcher::attempt(Call &call, Progress &progress)
{
    const std::string service = call.rule.id.name();
    // A named variable, because g++ 12 destroys an aggregate twice that is created inside a
    // co_await expression.
    SlotRequest request;
    request.deadline = call.deadline;
    request.viewIsFresh = m_deps.view.isFresh(timeNow());
    request.excludedHosts = progress.triedHosts;
    const SlotResult slot = co_await m_deps.routes.acquire(service, std::move(request));
    if (const auto *refusal = std::get_if<Refusal>(&slot)) {
        const bool hasAttemptedAll = refusal->reason == RefusalReason::NoUpstream
            && progress.attempts > 0;
        co_return refuse(call, progress,
                         hasAttemptedAll ? Refusal{RefusalReason::UpstreamUnreachable,
                                                   ExecutionStatus::NotExecuted, kRetryAfter}
                                         : *refusal);
    }
    const Endpoint endpoint = std::get<Endpoint>(slot);
    if (call.isUnrepeatable && !progress.claim) {
        std::optional<Reply> refused = co_await acquireClaim(call, progress);
        if (refused) {
            m_deps.routes.release(service, endpoint, AttemptResult::NotAttempted, Millis(0));
            co_return refused;
        }
    }
    // The view may have changed since the slot was granted, for example while this process was
    // paused.
    if (!m_deps.routes.isCurrent(service, endpoint)) {
        m_deps.routes.release(service, endpoint, AttemptResult::NotAttempted, Millis(0));
        co_return std::nullopt;
    }
    ++progress.attempts;
    const Instant started = timeNow();
    UpstreamOutcome outcome = co_await m_deps.upstreams.send(
        endpoint, call,
        attemptDeadline(call, progress.attempts, m_deps.routes.expectedLatency(service)),
        !call.isUnrepeatable);
    using Kind = UpstreamOutcome::Kind;
    AttemptResult result = AttemptResult::IncompleteResponse;
    if (outcome.kind == Kind::Responded) {
        result = isNotRunStatus(call.rule, outcome.reply.status) ? AttemptResult::Refused
                                                                 : AttemptResult::Responded;
    } else if (outcome.kind == Kind::NotSent) {
        result = AttemptResult::Unreachable;
    } else if (outcome.kind == Kind::Stale) {
        result = AttemptResult::NotAttempted;
    }
    m_deps.routes.release(service, endpoint, result, elapsedSince(started));
    co_return handleOutcome(call, progress, endpoint, std::move(outcome));
}

asio::awaitable<std::optional<Reply>> Dispatcher::acquireClaim(Call &call, Progress &progress)
{
    const ClaimOutcome outcome = co_await m_deps.claims.claim(
        call.rule.id.name(), call.idempotencyKey,
        call.method + " " + call.target + "\n" + call.body, call.deadline);
    if (const auto *handle = std::get_if<ClaimHandle>(&outcome)) {
        progress.claim = *handle;
        co_return std::nullopt;
    }
    if (const auto *replay = std::get_if<ReplayedResponse>(&outcome)) {
        Reply reply{.status = replay->status, .headers = {}, .body = replay->body};
        if (!replay->contentType.empty())
            reply.headers.emplace_back("Content-Type", replay->contentType);
        reply.headers.emplace_back("Idempotency-Replayed", "true");
        m_deps.metrics.count("replayed_answers_total");
        co_return reply;
    }
    co_return refuse(call, progress, std::get<Refusal>(outcome));
}

std::optional<Reply> Dispatcher::handleOutcome(Call &call, Progress &progress,
                                               const Endpoint &endpoint, UpstreamOutcome outcome)
{
    using Kind = UpstreamOutcome::Kind;
    progress.steps.push_back(endpoint.host.name() + " " + std::string(nameOf(outcome.kind)));
    if (outcome.kind != Kind::Stale)
        progress.triedHosts.push_back(endpoint.host);
    if (outcome.kind == Kind::NotSent) {
        m_deps.metrics.countRetry(RetryReason::ConnectFailed);
        if (progress.attempts < kMaxAttempts)
            return std::nullopt;
        return refuse(
            call, progress,
            {RefusalReason::UpstreamUnreachable, ExecutionStatus::NotExecuted, kRetryAfter});
    }
    if (outcome.kind == Kind::Responded) {
        if (!isNotRunStatus(call.rule, outcome.reply.status))
            return forwardResponse(call, progress, std::move(outcome.reply));
        return retryOrRefuse(
            call, progress, RetryReason::UpstreamRefused,
            {RefusalReason::UpstreamRefused, ExecutionStatus::NotExecuted, kRetryAfter});
    }
    progress.hasUnknownOutcome = true;
    if (outcome.kind == Kind::TimedOut)
        return retryOrRefuse(
            call, progress, RetryReason::TimedOut,
            {RefusalReason::UpstreamTimeout, ExecutionStatus::Unknown, std::nullopt});
    const RetryReason reason = outcome.kind == Kind::Stale ? RetryReason::StaleConnection
                                                           : RetryReason::IncompleteResponse;
    return retryOrRefuse(call, progress, reason,
                         {RefusalReason::UpstreamBroken, ExecutionStatus::Unknown, std::nullopt});
}

std::optional<Reply> Dispatcher::retryOrRefuse(const Call &call, Progress &progress,
                                               RetryReason reason, const Refusal &refusal)
{
    // An unrepeatable request may be sent again only if it is certain that it was not executed.
    const bool mayRetry = !call.isUnrepeatable || refusal.execution == ExecutionStatus::NotExecuted;
    if (!mayRetry || progress.attempts >= kMaxAttempts || timeNow() >= call.deadline)
        return refuse(call, progress, refusal);
    if (!acquireRetry()) {
        m_deps.metrics.count("retry_budget_denials_total");
        return refuse(call, progress, refusal);
    }
    m_deps.metrics.countRetry(reason);
    return std::nullopt;
}

Reply Dispatcher::forwardResponse(const Call &call, Progress &progress, Reply reply)
{
    if (progress.claim) {
        ClaimRecord record = progress.claim->record;
        record.state = ClaimState::Done;
        record.status = reply.status;
        record.contentType = headerValue(reply.headers, "Content-Type");
        record.body = reply.body;
        record.hasStoredBody = true;
        m_deps.claims.recordOutcome(*progress.claim, std::move(record));
    }
    m_deps.metrics.countResponse(reply.status, elapsedSince(call.received));
    return reply;
}

Reply Dispatcher::refuse(const Call &call, Progress &progress, Refusal refusal)
{
    if (progress.hasUnknownOutcome && refusal.execution == ExecutionStatus::NotExecuted)
        refusal.execution = ExecutionStatus::Unknown;
    if (progress.claim) {
        ClaimRecord record = progress.claim->record;
        record.state = refusal.execution == ExecutionStatus::NotExecuted ? ClaimState::Released
                                                                         : ClaimState::Unknown;
        m_deps.claims.recordOutcome(*progress.claim, std::move(record));
    }
    progress.steps.push_back("refused " + std::string(nameOf(refusal.reason)));
    m_deps.metrics.countRefusal(refusal.reason);
    m_deps.metrics.countResponse(statusOf(refusal.reason), elapsedSince(call.received));
    return problemReply(refusal);
}

bool Dispatcher::acquireRetry()
{
    const std::lock_guard lock(m_budgetMutex);
    return m_budget.tryAcquire(timeNow());
}

} // namespace oleanderhall
