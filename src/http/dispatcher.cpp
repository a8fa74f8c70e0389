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

constexpr int kMaxTries = 4; // upstreams for one request
constexpr int kPlenty = 3; // times the expected latency
constexpr Millis kShortestTry{50}; // of a request that may be tried again
constexpr Millis kComeBack{1000};

Instant timeNow()
{
    return std::chrono::steady_clock::now();
}

Millis since(Instant start)
{
    return std::chrono::duration_cast<Millis>(timeNow() - start);
}

bool isNotRunStatus(const ServiceRule &rule, int status)
{
    return std::find(rule.notRunStatuses.begin(), rule.notRunStatuses.end(), status)
        != rule.notRunStatuses.end();
}

/// A request that may be tried again leaves half of its time for the next try, if half is plenty
/// for this one. Cutting a try short that would have been answered wastes the slot that it holds.
Instant latestAnswer(const Call &call, int tries, Millis expected)
{
    const Instant now = timeNow();
    if (call.isUnrepeatable || tries + 1 >= kMaxTries)
        return call.deadline;
    const auto half = std::chrono::duration_cast<Millis>((call.deadline - now) / 2);
    if (half < kPlenty * expected)
        return call.deadline;
    return std::min(call.deadline, now + std::max(half, kShortestTry));
}

std::string headerOf(const HeaderList &headers, std::string_view wanted)
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
    int tries = 0;
    bool wasSent = false; ///< An earlier try was sent and its outcome is unknown.
    std::vector<HostId> tried;
    std::optional<ClaimHandle> claim;
    std::vector<std::string> steps;
};

Dispatcher::Dispatcher(DispatcherParts parts)
    : m_parts(parts)
    , m_budget(parts.retryPercent)
{}

asio::awaitable<Reply> Dispatcher::dispatch(Call call)
{
    Progress progress;
    m_parts.metrics.countFirstAttempt();
    {
        const std::lock_guard lock(m_budgetMutex);
        m_budget.countFirstTry(timeNow());
    }
    std::optional<Reply> reply;
    while (!reply) {
        if (timeNow() >= call.deadline)
            reply = refuse(call, progress, {RefusalReason::UpstreamTimeout, Ran::No, kComeBack});
        else
            reply = co_await attempt(call, progress);
    }
    progress.steps.push_back("status " + std::to_string(reply->status));
    m_parts.traces.add(
        {headerOf(call.headers, "X-Request-Id"), call.rule.id.name(), std::move(progress.steps)});
    co_return std::move(*reply);
}

asio::awaitable<std::optional<Reply>> Dispatcher::attempt(Call &call, Progress &progress)
{
    const std::string service = call.rule.id.name();
    // Built here, as g++ 12 destroys an aggregate twice that is built inside a co_await expression.
    SlotRequest request;
    request.deadline = call.deadline;
    request.viewIsFresh = m_parts.view.isFresh(timeNow());
    request.avoid = progress.tried;
    const SlotResult slot = co_await m_parts.routes.acquire(service, std::move(request));
    if (const auto *refusal = std::get_if<Refusal>(&slot)) {
        const bool hasTriedAll = refusal->reason == RefusalReason::NoUpstream && progress.tries > 0;
        co_return refuse(call, progress,
                         hasTriedAll
                             ? Refusal{RefusalReason::UpstreamUnreachable, Ran::No, kComeBack}
                             : *refusal);
    }
    const Endpoint endpoint = std::get<Endpoint>(slot);
    if (call.isUnrepeatable && !progress.claim) {
        std::optional<Reply> refused = co_await claimFor(call, progress);
        if (refused) {
            m_parts.routes.release(service, endpoint, AttemptResult::NotTried, Millis(0));
            co_return refused;
        }
    }
    // The view may have changed, or this process may have been paused, since the slot was granted.
    if (!m_parts.routes.isCurrent(service, endpoint)) {
        m_parts.routes.release(service, endpoint, AttemptResult::NotTried, Millis(0));
        co_return std::nullopt;
    }
    ++progress.tries;
    const Instant started = timeNow();
    UpstreamOutcome outcome = co_await m_parts.upstreams.send(
        endpoint, call, latestAnswer(call, progress.tries, m_parts.routes.expectedLatency(service)),
        !call.isUnrepeatable);
    using Kind = UpstreamOutcome::Kind;
    AttemptResult result = AttemptResult::Broken;
    if (outcome.kind == Kind::Answered) {
        result = isNotRunStatus(call.rule, outcome.reply.status) ? AttemptResult::Refused
                                                                 : AttemptResult::Answered;
    } else if (outcome.kind == Kind::NotSent) {
        result = AttemptResult::Unreachable;
    } else if (outcome.kind == Kind::Stale) {
        result = AttemptResult::NotTried;
    }
    m_parts.routes.release(service, endpoint, result, since(started));
    co_return judge(call, progress, endpoint, std::move(outcome));
}

asio::awaitable<std::optional<Reply>> Dispatcher::claimFor(Call &call, Progress &progress)
{
    const ClaimOutcome outcome = co_await m_parts.claims.claim(
        call.rule.id.name(), call.idempotencyKey,
        call.method + " " + call.target + "\n" + call.body, call.deadline);
    if (const auto *handle = std::get_if<ClaimHandle>(&outcome)) {
        progress.claim = *handle;
        co_return std::nullopt;
    }
    if (const auto *replay = std::get_if<ReplayAnswer>(&outcome)) {
        Reply reply{.status = replay->status, .headers = {}, .body = replay->body};
        if (!replay->contentType.empty())
            reply.headers.emplace_back("Content-Type", replay->contentType);
        reply.headers.emplace_back("Idempotency-Replayed", "true");
        m_parts.metrics.count("replayed_answers_total");
        co_return reply;
    }
    co_return refuse(call, progress, std::get<Refusal>(outcome));
}

std::optional<Reply> Dispatcher::judge(Call &call, Progress &progress, const Endpoint &endpoint,
                                       UpstreamOutcome outcome)
{
    using Kind = UpstreamOutcome::Kind;
    progress.steps.push_back(endpoint.host.name() + " " + std::string(nameOf(outcome.kind)));
    if (outcome.kind != Kind::Stale)
        progress.tried.push_back(endpoint.host);
    if (outcome.kind == Kind::NotSent) {
        m_parts.metrics.countRetry(RetryReason::ConnectFailed);
        if (progress.tries < kMaxTries)
            return std::nullopt;
        return refuse(call, progress, {RefusalReason::UpstreamUnreachable, Ran::No, kComeBack});
    }
    if (outcome.kind == Kind::Answered) {
        if (!isNotRunStatus(call.rule, outcome.reply.status))
            return answer(call, progress, std::move(outcome.reply));
        return retryOrRefuse(call, progress, RetryReason::UpstreamRefused,
                             {RefusalReason::UpstreamRefused, Ran::No, kComeBack});
    }
    progress.wasSent = true;
    if (outcome.kind == Kind::TimedOut)
        return retryOrRefuse(call, progress, RetryReason::TimedOut,
                             {RefusalReason::UpstreamTimeout, Ran::Unknown, std::nullopt});
    const RetryReason reason = outcome.kind == Kind::Stale ? RetryReason::StaleConnection
                                                           : RetryReason::BrokenAnswer;
    return retryOrRefuse(call, progress, reason,
                         {RefusalReason::UpstreamBroken, Ran::Unknown, std::nullopt});
}

std::optional<Reply> Dispatcher::retryOrRefuse(const Call &call, Progress &progress,
                                               RetryReason retry, const Refusal &refusal)
{
    // An unrepeatable request may be sent again only when the upstream said that it did not run.
    const bool mayRepeat = !call.isUnrepeatable || refusal.ran == Ran::No;
    if (!mayRepeat || progress.tries >= kMaxTries || timeNow() >= call.deadline)
        return refuse(call, progress, refusal);
    if (!tryRetry()) {
        m_parts.metrics.count("retry_budget_denials_total");
        return refuse(call, progress, refusal);
    }
    m_parts.metrics.countRetry(retry);
    return std::nullopt;
}

Reply Dispatcher::answer(const Call &call, Progress &progress, Reply reply)
{
    if (progress.claim) {
        ClaimRecord record = progress.claim->record;
        record.state = ClaimState::Done;
        record.status = reply.status;
        record.contentType = headerOf(reply.headers, "Content-Type");
        record.body = reply.body;
        record.keepsBody = true;
        m_parts.claims.settle(*progress.claim, std::move(record));
    }
    m_parts.metrics.countResponse(reply.status, since(call.received));
    return reply;
}

Reply Dispatcher::refuse(const Call &call, Progress &progress, Refusal refusal)
{
    if (progress.wasSent && refusal.ran == Ran::No)
        refusal.ran = Ran::Unknown;
    if (progress.claim) {
        ClaimRecord record = progress.claim->record;
        record.state = refusal.ran == Ran::No ? ClaimState::Released : ClaimState::Unknown;
        m_parts.claims.settle(*progress.claim, std::move(record));
    }
    progress.steps.push_back("refused " + std::string(nameOf(refusal.reason)));
    m_parts.metrics.countRefusal(refusal.reason);
    m_parts.metrics.countResponse(statusOf(refusal.reason), since(call.received));
    return problemReply(refusal);
}

bool Dispatcher::tryRetry()
{
    const std::lock_guard lock(m_budgetMutex);
    return m_budget.tryRetry(timeNow());
}

} // namespace oleanderhall
