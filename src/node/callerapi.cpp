#include <utility>

#include "callerapi.h"

#include "storednames.h"

#include "../../platform/callermessages.h"
#include "../daemon/log.h"
#include "../daemon/metrics.h"
#include "../http/oneshot.h"

#include "oleanderhall/core/clock.h"
#include "oleanderhall/jobs/jobcodec.h"
#include "oleanderhall/jobs/jobprogress.h"

#include <cpprest/json.h>

#include <algorithm>
#include <charconv>
#include <random>

namespace oleanderhall {

namespace asio = boost::asio;
using platform::ReadResult;
using platform::Transaction;
using platform::TransactionResult;

namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kNotAllowed = 405;
constexpr int kGone = 410;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;
constexpr int kOutcomeUnknown = 504;
// Retry-After of temporary refusals, such as while the table or the configuration is missing.
constexpr Millis kRetryAfter{1000};
// Limit of one call to the table; a slow table takes several hundred milliseconds.
constexpr Millis kTableTimeout{700};
constexpr int kCancelAttempts = 3; // as many as fit into a caller's usual time limit of 3 s
// Longest time to store a job, whatever time limit the caller sets; it occupies a connection.
constexpr Millis kMaxSubmitTime{10000};
constexpr Millis kDefaultTimeLimit{2260}; // of a caller that sets none, on a queue without one
// The part of a caller's time limit that is left for the transfer of the response: a busy small
// host takes up to 200 ms of the usual 3 s.
constexpr Millis kMinResponseReserve{60};
constexpr int kResponseReserveParts = 15;
// Room is short when a job placed last would wait longer than this, and than half of its allowance.
constexpr Millis kMinShortWait{500};
constexpr Millis kRetryDelay{100};

struct Stored
{
    StoreOutcome outcome = StoreOutcome::Unknown;
    std::uint64_t version = 0;
};

Instant responseDeadline(const HttpRequest &request, const QueueConfig &queue, Instant now)
{
    const auto header = request[platform::kDeadlineHeader];
    std::int64_t milliseconds = 0;
    const auto parsed = std::from_chars(header.data(), header.data() + header.size(), milliseconds);
    if (header.empty() || parsed.ec != std::errc())
        milliseconds = (queue.callerTimeout.count() > 0 ? queue.callerTimeout : kDefaultTimeLimit)
                           .count();
    const Millis limit(std::min<std::int64_t>(milliseconds, kMaxSubmitTime.count()));
    const Millis reserve = std::max(kMinResponseReserve, limit / kResponseReserveParts);
    return now + std::max(limit - reserve, kMinResponseReserve);
}

Reply jsonReply(std::string body)
{
    return {
        .status = kOk, .headers = {{"Content-Type", "application/json"}}, .body = std::move(body)};
}

/// Jobs of public queues, and those stored before the queue asked for keys, belong to no team.
bool isOfOtherTeam(const JobProgress &progress, TeamId team)
{
    return !progress.team.empty() && progress.team != team;
}

/// Returns whether `rows`, which are those of job `id`, show a stored job that callers of `team`
/// may cancel.
bool isCancellable(JobId id, const std::vector<platform::TableRow> &rows, TeamId team)
{
    return std::none_of(rows.begin(), rows.end(), [&](const platform::TableRow &row) {
        const auto key = parseJobKey(row.key);
        const auto progress = key && key->row == JobRow::Progress ? decodeProgress(id, row.value)
                                                                  : std::nullopt;
        return progress && (progress->isWithdrawn || isOfOtherTeam(*progress, team));
    });
}

/// Returns a value in [0, 1) that differs between processes.
double randomFraction()
{
    std::random_device device;
    return std::uniform_real_distribution<double>(0, 1)(device);
}

std::string findingsBody(const FindingList &findings)
{
    web::json::value list = web::json::value::array();
    for (std::size_t index = 0; index < findings.items().size(); ++index) {
        const Finding &finding = findings.items()[index];
        web::json::value entry = web::json::value::object();
        entry["place"] = web::json::value(finding.location);
        entry["problem"] = web::json::value(finding.problem);
        entry["expected"] = web::json::value(finding.expected);
        list[index] = entry;
    }
    web::json::value body = web::json::value::object();
    body["findings"] = list;
    return body.serialize();
}

} // namespace

CallerApi::CallerApi(asio::io_context &io, platform::TableClient &table, const FleetView &view,
                     Metrics &metrics, Millis teamRateWindow)
    : m_io(io)
    , m_table(table)
    , m_view(view)
    , m_metrics(metrics)
    , m_probe(io, table)
    , m_admission(teamRateWindow, randomFraction())
    , m_retrySpread(randomFraction())
{
    for (int partition = 0; partition < kJobPartitions; ++partition)
        m_writers.push_back(
            std::make_unique<JobWriter>(io, table, m_probe, jobPartitionName(partition)));
}

void CallerApi::setHandOff(const std::function<bool(int)> &isBetterElsewhere)
{
    for (int partition = 0; partition < kJobPartitions; ++partition)
        m_writers[static_cast<std::size_t>(partition)]->setHandOff(
            [isBetterElsewhere, partition] { return isBetterElsewhere(partition); });
}

Reply CallerApi::refuse(int status, const char *reason, std::optional<Millis> retryAfter)
{
    m_metrics.count(std::string("job_refusals_") + reason + "_total");
    Reply reply{.status = status, .headers = {{"Content-Type", "application/problem+json"}}};
    if (retryAfter) {
        const auto seconds = (*retryAfter + Millis(999)) / Millis(1000);
        reply.headers.emplace_back("Retry-After", std::to_string(seconds));
    }
    reply.body = std::string(R"({"reason":")") + reason + "\"}";
    return reply;
}

asio::awaitable<Reply> CallerApi::answer(HttpRequest &request)
{
    const Instant received = monotonicNow();
    Reply reply = co_await route(request);
    m_metrics.countResponse(reply.status,
                            std::chrono::duration_cast<Millis>(monotonicNow() - received));
    co_return reply;
}

asio::awaitable<Reply> CallerApi::route(HttpRequest &request)
{
    if (!m_view.config)
        co_return refuse(kUnavailable, "no_configuration", kRetryAfter);
    const std::string path(request.target().substr(0, request.target().find('?')));
    const auto host = request[boost::beast::http::field::host];
    const std::string_view hostName(host.data(), host.size());
    const QueueConfig *queue = m_view.config->find(hostName, path);
    if (!queue)
        co_return refuse(kNotFound, "no_such_queue", std::nullopt);
    JobTarget target{.queue = *queue,
                     .config = m_view.config->version,
                     .jobId = path.substr(queue->prefix.size()),
                     .deadline = responseDeadline(request, *queue, monotonicNow())};
    const auto key = request[platform::kApiKeyHeader];
    if (std::optional<Reply> refusal = refuseWithoutKey(target, {key.data(), key.size()}))
        co_return std::move(*refusal);
    const auto method = request.method();
    if (target.jobId.empty()) {
        if (method == boost::beast::http::verb::get)
            co_return waitingCount(target);
        co_return refuse(kNotAllowed, "method_not_allowed", std::nullopt);
    }
    const auto id = parseJobId(target.jobId);
    if (!id)
        co_return refuse(kBadRequest, "bad_job_id", std::nullopt);
    if (method == boost::beast::http::verb::post) {
        std::string body = std::move(request.body());
        co_return co_await submit(std::move(target), *id, std::move(body));
    }
    if (method == boost::beast::http::verb::get)
        co_return co_await jobState(target, *id);
    if (method == boost::beast::http::verb::delete_)
        co_return co_await cancel(target, *id);
    co_return refuse(kNotAllowed, "method_not_allowed", std::nullopt);
}

std::optional<Reply> CallerApi::refuseWithoutKey(JobTarget &target, std::string_view key)
{
    if (target.queue.isPublic)
        return std::nullopt;
    if (!m_view.accessLease.isValid(monotonicNow()))
        return refuse(kUnavailable, "configuration_stale", kRetryAfter);
    const std::optional<TeamId> team = m_view.teams.find(key);
    if (!team)
        return refuse(kUnauthorized, key.empty() ? "key_missing" : "key_unknown", std::nullopt);
    target.team = *team;
    return std::nullopt;
}

bool CallerApi::mayTakeEffect(const JobTarget &target) const
{
    return target.queue.isPublic || m_view.accessLease.isValid(monotonicNow());
}

Reply CallerApi::waitingCount(const JobTarget &target)
{
    if (!m_view.areCountsKnown(monotonicNow()))
        return refuse(kUnavailable, "count_unknown", kRetryAfter);
    const auto found = m_view.report.waitingJobs.find(target.queue.name);
    const std::int64_t count = found == m_view.report.waitingJobs.end() ? 0 : found->second;
    logInfo(
        "waiting_count_answered",
        {{"queue", target.queue.name},
         {"count", std::to_string(count)},
         {"age_ms", std::to_string(m_view.tableTime(monotonicNow()) - m_view.report.countedMs)}});
    return jsonReply(platform::encodeWaitingCount(count));
}

asio::awaitable<TransactionResult> CallerApi::transact(Transaction transaction)
{
    auto oneShot = std::make_shared<OneShot<TransactionResult>>(m_io.get_executor());
    m_table.transact(transaction, kTableTimeout,
                     [oneShot](TransactionResult result) { oneShot->set(std::move(result)); });
    std::optional<TransactionResult> result = co_await oneShot->wait(
        std::chrono::steady_clock::now() + 2 * kTableTimeout);
    co_return result ? std::move(*result) : TransactionResult{};
}

asio::awaitable<ReadResult> CallerApi::readJob(JobId id)
{
    auto oneShot = std::make_shared<OneShot<ReadResult>>(m_io.get_executor());
    m_table.read(kProgressTable, jobPartitionName(jobPartition(id)), jobKey(id, JobRow::Progress),
                 jobKey(id, JobRow::Cancel) + " ", kTableTimeout,
                 [oneShot](ReadResult result) { oneShot->set(std::move(result)); });
    std::optional<ReadResult> result = co_await oneShot->wait(std::chrono::steady_clock::now()
                                                              + 2 * kTableTimeout);
    co_return result ? std::move(*result) : ReadResult{};
}

AdmissionPolicy::Verdict CallerApi::admit(const JobTarget &target, Instant now)
{
    if (target.team.empty())
        return {};
    AdmissionPolicy::Inputs load{.isKnown = m_view.isLoadKnown(now)};
    for (const TeamConfig &team : m_view.config->teams) {
        if (team.id == target.team)
            load.weight = team.weight;
    }
    const LoadReport &report = m_view.report.load;
    const auto rate = report.teamRates.find(target.team.name());
    if (rate != report.teamRates.end())
        load.acceptedRate = rate->second;
    const auto wait = report.poolWaits.find(target.queue.pool.name());
    load.isRoomShort = wait != report.poolWaits.end()
        && wait->second > std::max(kMinShortWait, target.queue.allowance / 2);
    return m_admission.decide(target.team, load, now);
}

void CallerApi::recordTeamCall(TeamId team, const char *outcome)
{
    if (team.empty())
        return;
    m_metrics.countLabelled("team_calls_total", m_teamCalls.record(team, outcome));
    if (const auto counts = m_teamCalls.takeLine(monotonicNow()))
        logInfo("team_calls", {{"counts", *counts}});
}

asio::awaitable<Reply> CallerApi::submit(JobTarget target, JobId id, std::string body)
{
    JobWriter &writer = *m_writers[static_cast<std::size_t>(jobPartition(id))];
    AdmissionPolicy::Verdict verdict;
    if (!writer.contains(id)) // a repeated call must not be told that the job isn't stored
        verdict = admit(target, monotonicNow());
    if (!verdict.isAccepted) {
        recordTeamCall(target.team, "team_over_rate");
        co_return refuse(kTooManyRequests, "team_over_rate", verdict.retryAfter);
    }
    JobSpec job{.id = id, .queue = target.queue, .team = target.team, .config = target.config};
    FindingList findings;
    platform::decodeJob(body, job, findings);
    if (!findings.empty()) {
        m_metrics.count("job_refusals_malformed_total");
        recordTeamCall(target.team, "malformed");
        logInfo("job_refused", {{"job", textOf(id)}, {"reason", "malformed"}});
        co_return Reply{.status = kBadRequest,
                        .headers = {{"Content-Type", "application/json"}},
                        .body = findingsBody(findings)};
    }
    if (!m_view.isTableReachable(monotonicNow())) {
        logInfo("job_refused", {{"job", textOf(id)}, {"reason", "table_unreachable"}});
        recordTeamCall(target.team, "table_unreachable");
        co_return refuse(kUnavailable, "table_unreachable", kRetryAfter);
    }
    job.acceptedMs = m_view.tableTime(monotonicNow());
    job.isReleased = m_view.mayReleaseAtOnce(target.queue.name, monotonicNow());
    auto oneShot = std::make_shared<OneShot<Stored>>(m_io.get_executor());
    writer.store(job, target.deadline, verdict.isOverRate,
                 [oneShot](StoreOutcome outcome, std::uint64_t version) {
                     oneShot->set({outcome, version});
                 });
    constexpr Millis kSlack{500}; // the writer reports shortly after the deadline
    const std::optional<Stored> stored = co_await oneShot->wait(
        std::chrono::steady_clock::now() + (target.deadline - monotonicNow()) + kSlack);
    const StoreOutcome outcome = stored ? stored->outcome : StoreOutcome::Unknown;
    if (outcome == StoreOutcome::Stored || outcome == StoreOutcome::AlreadyStored) {
        const bool isNew = outcome == StoreOutcome::Stored;
        m_metrics.count(isNew ? "jobs_accepted_total" : "jobs_accepted_again_total");
        logInfo("job_stored",
                {{"job", textOf(id)},
                 {"queue", target.queue.name},
                 {"team", target.team.name()},
                 {"config", std::to_string(target.config.value)},
                 {"version", std::to_string(stored->version)},
                 {"new", isNew ? "true" : "false"}});
        recordTeamCall(target.team, "accepted");
        co_return jsonReply(R"({"state":"queued"})");
    }
    if (outcome == StoreOutcome::Withdrawn) {
        logInfo("job_refused", {{"job", textOf(id)}, {"reason", "job_withdrawn"}});
        recordTeamCall(target.team, "job_withdrawn");
        co_return refuse(kGone, "job_withdrawn", std::nullopt);
    }
    const bool mayBeStored = outcome == StoreOutcome::Unknown;
    const char *reason = mayBeStored ? "outcome_unknown" : "table_refused";
    logWarning("job_refused", {{"job", textOf(id)}, {"reason", reason}});
    recordTeamCall(target.team, reason);
    // The job may have been stored, so the response must not say that it was not.
    if (mayBeStored)
        co_return refuse(kOutcomeUnknown, reason, std::nullopt);
    const Millis expected = std::max(kRetryAfter, writer.expectedDelay(monotonicNow()));
    co_return refuse(kUnavailable, reason, std::max(expected, m_retrySpread.next(expected)));
}

asio::awaitable<Reply> CallerApi::jobState(const JobTarget &target, JobId id)
{
    const ReadResult result = co_await readJob(id);
    if (!result.isSuccess)
        co_return refuse(kUnavailable, "table_unreachable", kRetryAfter);
    if (!mayTakeEffect(target))
        co_return refuse(kUnavailable, "configuration_stale", kRetryAfter);
    std::optional<JobProgress> progress;
    bool isCancelled = false;
    for (const platform::TableRow &row : result.rows) {
        const auto key = parseJobKey(row.key);
        if (key && key->row == JobRow::Progress)
            progress = decodeProgress(id, row.value);
        isCancelled = isCancelled || (key && key->row == JobRow::Cancel);
    }
    // The job of another team is answered like an unknown one.
    if (result.rows.empty()
        || (progress && (progress->isWithdrawn || isOfOtherTeam(*progress, target.team))))
        co_return refuse(kGone, "no_such_job", std::nullopt);
    if (!progress) {
        logWarning("job_progress_unreadable", {{"job", textOf(id)}});
        co_return refuse(kUnavailable, "progress_unreadable", kRetryAfter);
    }
    const bool isShownCancelled = isCancelled && !isFinal(progress->state);
    co_return jsonReply(
        platform::encodeJobState(isShownCancelled ? JobState::Cancelled : progress->state));
}

asio::awaitable<Reply> CallerApi::cancel(const JobTarget &target, JobId id)
{
    const ReadResult result = co_await readJob(id);
    if (!result.isSuccess)
        co_return refuse(kUnavailable, "table_unreachable", kRetryAfter);
    if (!mayTakeEffect(target))
        co_return refuse(kUnavailable, "configuration_stale", kRetryAfter);
    if (result.rows.empty())
        co_return co_await withdraw(target, id);
    if (!isCancellable(id, result.rows, target.team))
        co_return refuse(kGone, "no_such_job", std::nullopt);
    co_return co_await storeCancellation(id);
}

/// Cancels a job that isn't stored. A write of it whose caller didn't learn the outcome may still
/// be performed, so a record takes the place of the job's progress, on whose absence that write
/// depends.
asio::awaitable<Reply> CallerApi::withdraw(const JobTarget &target, JobId id)
{
    const std::string progressKey = jobKey(id, JobRow::Progress);
    const JobProgress record{.id = id,
                             .state = JobState::Cancelled,
                             .team = target.team,
                             .acceptedMs = m_view.tableTime(monotonicNow()),
                             .isWithdrawn = true};
    Transaction transaction{.partition = jobPartitionName(jobPartition(id))};
    transaction.preconditions.push_back({kProgressTable, progressKey, 0});
    transaction.writes.push_back({kProgressTable, progressKey, encodeProgress(record)});
    // The owner watches this table and deletes the record when it has expired.
    transaction.writes.push_back({kJobTable, jobKey(id, JobRow::Cancel), "1"});
    for (int attempt = 1; attempt <= kCancelAttempts; ++attempt) {
        const TransactionResult written = co_await transact(transaction);
        if (written.outcome == TransactionResult::Outcome::Done) {
            m_metrics.count("jobs_withdrawn_total");
            logInfo("job_withdrawn",
                    {{"job", textOf(id)}, {"version", std::to_string(written.version)}});
            co_return refuse(kGone, "no_such_job", std::nullopt);
        }
        if (written.outcome == TransactionResult::Outcome::Conflict) {
            if (!isCancellable(id, written.rows, target.team))
                co_return refuse(kGone, "no_such_job", std::nullopt);
            co_return co_await storeCancellation(id); // it was stored meanwhile
        }
        co_await pauseBeforeRetry();
    }
    co_return refuse(kUnavailable, "table_unreachable", kRetryAfter);
}

asio::awaitable<void> CallerApi::pauseBeforeRetry()
{
    asio::steady_timer pause(m_io, kRetryDelay);
    boost::system::error_code ignored;
    co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<Reply> CallerApi::storeCancellation(JobId id)
{
    Transaction transaction{.partition = jobPartitionName(jobPartition(id))};
    for (const char *table : {kJobTable, kProgressTable})
        transaction.writes.push_back({table, jobKey(id, JobRow::Cancel), "1"});
    for (int attempt = 1; attempt <= kCancelAttempts; ++attempt) {
        const TransactionResult written = co_await transact(transaction);
        if (written.outcome == TransactionResult::Outcome::Done) {
            m_metrics.count("jobs_cancelled_total");
            logInfo("job_cancel_stored",
                    {{"job", textOf(id)}, {"version", std::to_string(written.version)}});
            co_return jsonReply(R"({"state":"cancelled"})");
        }
        co_await pauseBeforeRetry();
    }
    co_return refuse(kUnavailable, "table_unreachable", kRetryAfter);
}

} // namespace oleanderhall
