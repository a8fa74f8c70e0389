#include <utility>

#include "callforwarder.h"

#include "storednames.h"

#include "../../platform/callermessages.h"
#include "../daemon/log.h"
#include "../daemon/metrics.h"
#include "../http/oneshot.h"

#include "oleanderhall/core/clock.h"

#include <algorithm>
#include <charconv>

namespace oleanderhall {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr int kUnavailable = 503;
constexpr int kOutcomeUnknown = 504;
/// Request header: the call was passed on by a fleet node and must not be passed on again.
constexpr const char *kForwardedHeader = "Oleanderhall-Forwarded";
/// Response header: the call has certainly had no effect, and another node may be able to serve it.
constexpr const char *kNotDoneHeader = "Oleanderhall-Not-Done";
/// Response header: how many milliseconds the node's latest transaction took.
constexpr const char *kTableMsHeader = "Oleanderhall-Table-Ms";
constexpr const char *kRetryAfterSeconds = "1";

constexpr Millis kDefaultLimit{2260}; // a caller without a limit gets an answer after 2.2 s
constexpr Millis kHopReserve{40}; // part of the caller's limit for the two transfers of a hop
constexpr Millis kMinLimit{200}; // below it, a connection and a transaction don't fit
constexpr Millis kAnswerSlack{100}; // the client reports shortly after its timeout
constexpr int kMaxAttempts = 2;
// Bound the memory for forwarded calls; the body of a call is held twice while it is sent.
constexpr int kMaxForwardedCalls = 128;
constexpr std::size_t kMaxForwardedBytes = 2UL << 20;
constexpr std::size_t kMaxKeptBytes = 4UL << 20; // of bodies that may be forwarded later
// A node that writes for a partition of a slow table holds 50 calls a second for 2 s.
constexpr int kMaxPeerCalls = 256;
constexpr int kMaxCallsWithPeers = 400; // of callers and peers together
// Shorter than a server's limit of 30 s for idle connections.
constexpr Millis kLinkIdleTime{10000};

/// Adds `amount` to a total during its lifetime.
template <typename Total>
class ScopedAddition
{
public:
    explicit ScopedAddition(Total &total, Total amount = 1)
        : m_total(total)
        , m_amount(amount)
    {
        m_total += m_amount;
    }
    ~ScopedAddition() { m_total -= m_amount; }
    ScopedAddition(const ScopedAddition &) = delete;
    ScopedAddition &operator=(const ScopedAddition &) = delete;

private:
    Total &m_total;
    Total m_amount;
};

std::optional<std::int64_t> parseNumber(std::string_view text)
{
    std::int64_t number = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    if (text.empty() || parsed.ec != std::errc())
        return std::nullopt;
    return number;
}

std::string_view fieldOf(const HttpRequest &request, const char *name)
{
    const auto value = request[name];
    return {value.data(), value.size()};
}

Millis limitOf(const HttpRequest &request)
{
    const auto limit = parseNumber(fieldOf(request, platform::kDeadlineHeader));
    // Limits above a minute are cut off, so that sums of times can't overflow.
    constexpr std::int64_t kLongestLimitMs = 60000;
    return limit ? Millis(std::clamp<std::int64_t>(*limit, 0, kLongestLimitMs)) : kDefaultLimit;
}

const std::string *find(const HeaderList &headers, const char *name)
{
    for (const auto &[field, value] : headers) {
        if (boost::beast::iequals(field, name))
            return &value;
    }
    return nullptr;
}

/// Returns whether the table kept the node from serving the call, so that another node may try it:
/// a POST with such a reply has had no effect, and a GET or DELETE may be repeated. The reasons of
/// such refusals, and only these, begin with "table_".
bool isTableRefusal(const Reply &reply)
{
    return reply.status == kUnavailable && reply.body.find("\"table_") != std::string::npos;
}

bool isPost(const HttpRequest &request)
{
    return request.method() == http::verb::post;
}

std::optional<JobId> jobOf(const HttpRequest &request, const FleetConfig &config,
                           const QueueConfig *&queue)
{
    const std::string path(request.target().substr(0, request.target().find('?')));
    queue = config.find(fieldOf(request, "Host"), path);
    return queue ? parseJobId(path.substr(queue->prefix.size())) : std::nullopt;
}

PeerResult resultOf(const HttpResult &response)
{
    if (response.outcome == HttpResult::Outcome::NotSent)
        return PeerResult::NotSent;
    if (response.outcome == HttpResult::Outcome::Unknown)
        return PeerResult::Lost;
    return find(response.headers, kNotDoneHeader) ? PeerResult::Refused : PeerResult::Answered;
}

const char *resultText(PeerResult result)
{
    switch (result) {
    case PeerResult::Answered:
        return "answered";
    case PeerResult::Refused:
        return "refused";
    case PeerResult::NotSent:
        return "not_sent";
    case PeerResult::Lost:
        return "lost";
    }
    return "";
}

Reply replyFrom(HttpResult response)
{
    Reply reply{.status = response.status, .body = std::move(response.body)};
    for (const char *name : {"Content-Type", "Retry-After"}) {
        if (const std::string *value = find(response.headers, name))
            reply.headers.emplace_back(name, *value);
    }
    return reply;
}

} // namespace

CallForwarder::CallForwarder(asio::io_context &io, const FleetView &view, PeerList &peers,
                             TableMonitor &monitor, Metrics &metrics, RequestHandler answerLocally)
    : m_io(io)
    , m_view(view)
    , m_peers(peers)
    , m_monitor(monitor)
    , m_metrics(metrics)
    , m_answerLocally(std::move(answerLocally))
{}

const char *CallForwarder::textOf(Reason reason)
{
    switch (reason) {
    case Reason::NoTable:
        return "no_table";
    case Reason::StaleConfiguration:
        return "stale_configuration";
    case Reason::SlowTable:
        return "slow_table";
    }
    return "";
}

Reply CallForwarder::refuse(int status, const char *reason)
{
    m_metrics.count(std::string("job_refusals_") + reason + "_total");
    Reply reply{.status = status, .headers = {{"Content-Type", "application/problem+json"}}};
    if (status == kUnavailable)
        reply.headers.emplace_back("Retry-After", kRetryAfterSeconds);
    reply.body = std::string(R"({"reason":")") + reason + "\"}";
    return reply;
}

bool CallForwarder::hasTable(Instant now) const
{
    return m_view.isTableReachable(now) && m_monitor.availability.isAvailable()
        && !m_isTableSilent(now);
}

bool CallForwarder::isTableSlow(Instant now)
{
    const bool isSlow = m_monitor.speed.isSlow(now);
    if (isSlow != m_wasTableSlow)
        logInfo(isSlow ? "table_slow" : "table_fast");
    m_wasTableSlow = isSlow;
    return isSlow;
}

asio::awaitable<Reply> CallForwarder::answer(HttpRequest &request)
{
    const Instant received = monotonicNow();
    const ScopedAddition count(m_callerCalls);
    if (const std::optional<Reason> reason = reasonToForward(request, received)) {
        std::optional<Reply> reply = co_await forward(request, *reason, received);
        if (reply) {
            m_metrics.countResponse(reply->status,
                                    std::chrono::duration_cast<Millis>(monotonicNow() - received));
            co_return std::move(*reply);
        }
        co_return co_await m_answerLocally(request);
    }
    if (isPost(request) && m_peers.size() > 0)
        co_return co_await answerJob(request, received);
    co_return co_await m_answerLocally(request);
}

asio::awaitable<Reply> CallForwarder::answerJob(HttpRequest &request, Instant received)
{
    const std::size_t bytes = request.body().size();
    const bool isKept = m_keptBytes + bytes <= kMaxKeptBytes;
    const ScopedAddition count(m_keptBytes, isKept ? bytes : 0);
    std::string body = isKept ? request.body() : std::string();
    Reply refused = co_await m_answerLocally(request);
    if (!isKept || !isTableRefusal(refused))
        co_return refused;
    // The job isn't stored, so another node may store it.
    request.body() = std::move(body);
    const std::optional<Reason> reason = reasonToForward(request, monotonicNow());
    if (!reason)
        co_return refused;
    std::optional<Reply> reply = co_await forward(request, *reason, received);
    co_return reply ? std::move(*reply) : std::move(refused);
}

asio::awaitable<Reply> CallForwarder::answerPeer(HttpRequest &request)
{
    m_metrics.count("peer_calls_total");
    const bool isBusy = m_peerCalls >= kMaxPeerCalls
        || m_callerCalls + m_peerCalls >= kMaxCallsWithPeers;
    if (isBusy || !hasTable(monotonicNow())) {
        Reply refusal = refuse(kUnavailable, isBusy ? "peer_busy" : "peer_without_table");
        refusal.headers.emplace_back(kNotDoneHeader, "1");
        co_return refusal;
    }
    const ScopedAddition count(m_peerCalls);
    Reply reply = co_await m_answerLocally(request);
    if (isTableRefusal(reply) && !hasTable(monotonicNow()))
        reply.headers.emplace_back(kNotDoneHeader, "1");
    if (const auto duration = m_monitor.speed.latestDuration(monotonicNow()))
        reply.headers.emplace_back(kTableMsHeader, std::to_string(duration->count()));
    co_return reply;
}

std::optional<CallForwarder::Reason> CallForwarder::reasonToForward(const HttpRequest &request,
                                                                    Instant now)
{
    const http::verb method = request.method();
    if (!m_view.config || !fieldOf(request, kForwardedHeader).empty()
        || (method != http::verb::post && method != http::verb::get
            && method != http::verb::delete_))
        return std::nullopt;
    const bool isSlow = isTableSlow(now);
    const bool isLeaseValid = m_view.accessLease.isValid(now);
    if (hasTable(now) && isLeaseValid && !(isSlow && isPost(request)))
        return std::nullopt;
    const QueueConfig *queue = nullptr;
    if (!jobOf(request, *m_view.config, queue))
        return std::nullopt;
    // With a valid lease this node knows the keys and refuses an unknown one itself.
    if (!queue->isPublic && isLeaseValid
        && !m_view.teams.find(fieldOf(request, platform::kApiKeyHeader)))
        return std::nullopt;
    if (!hasTable(now))
        return Reason::NoTable;
    if (!queue->isPublic && !isLeaseValid)
        return Reason::StaleConfiguration;
    return isSlow && isPost(request) ? std::optional(Reason::SlowTable) : std::nullopt;
}

std::optional<Peer> CallForwarder::otherWriter(int partition, Instant now) const
{
    const Peer writer = m_peers.writerOf(jobPartitionName(partition), now);
    if (writer.id == m_peers.self() || !m_peers.mayCall(writer.id, now))
        return std::nullopt;
    return writer;
}

bool CallForwarder::isBetterElsewhere(int partition)
{
    const Instant now = monotonicNow();
    if (!hasTable(now))
        return m_peers.choosePeer({}, now).has_value();
    return isTableSlow(now) && otherWriter(partition, now);
}

std::optional<Peer> CallForwarder::choosePeer(const HttpRequest &request, Reason reason,
                                              const std::vector<Peer> &tried, Instant now)
{
    if (reason != Reason::SlowTable)
        return m_peers.choosePeer(tried, now);
    // Without another writer that takes the call, this node writes itself.
    const QueueConfig *queue = nullptr;
    const std::optional<JobId> job = jobOf(request, *m_view.config, queue);
    return job ? otherWriter(jobPartition(*job), now) : std::nullopt;
}

asio::awaitable<std::optional<Reply>> CallForwarder::forward(HttpRequest &request, Reason reason,
                                                             Instant received)
{
    const std::size_t bytes = request.body().size();
    if (m_forwardedCalls >= kMaxForwardedCalls || m_forwardedBytes + bytes > kMaxForwardedBytes) {
        m_metrics.count("calls_forwarded_over_limit_total");
        co_return std::nullopt;
    }
    const ScopedAddition count(m_forwardedCalls);
    const ScopedAddition bytesCount(m_forwardedBytes, bytes);
    const Millis limit = limitOf(request);
    std::vector<Peer> tried;
    std::optional<Reply> reply;
    while (!reply && std::ssize(tried) < kMaxAttempts) {
        const Instant now = monotonicNow();
        const Millis remaining = limit - std::chrono::duration_cast<Millis>(now - received);
        const std::optional<Peer> peer = choosePeer(request, reason, tried, now);
        if (!peer || remaining < kMinLimit)
            break;
        tried.push_back(*peer);
        Attempt attempt = co_await send(request, *peer, remaining);
        const char *result = resultText(attempt.result);
        m_metrics.count(std::string("calls_forwarded_") + textOf(reason) + "_" + result + "_total");
        const std::string target(request.target());
        if (attempt.result == PeerResult::Answered) {
            if (isPost(request))
                logInfo("call_forwarded",
                        {{"target", target},
                         {"peer", peer->id.name()},
                         {"reason", textOf(reason)},
                         {"status", std::to_string(attempt.response.status)}});
            if (reason == Reason::SlowTable) {
                const std::string *duration = find(attempt.response.headers, kTableMsHeader);
                const auto milliseconds = duration ? parseNumber(*duration) : std::nullopt;
                if (milliseconds)
                    m_monitor.speed.onReported(Millis(*milliseconds), monotonicNow());
            }
            reply = replyFrom(std::move(attempt.response));
            break;
        }
        logWarning("call_not_forwarded",
                   {{"target", target},
                    {"peer", peer->id.name()},
                    {"reason", textOf(reason)},
                    {"result", result}});
        if (attempt.result == PeerResult::Lost)
            reply = isPost(request) ? refuse(kOutcomeUnknown, "outcome_unknown")
                                    : refuse(kUnavailable, "peer_unanswered");
    }
    if (!reply && !tried.empty()) {
        // The time that the attempts took is no longer available to this node.
        const Millis used = std::chrono::duration_cast<Millis>(monotonicNow() - received);
        const Millis left = std::max(limit - used, Millis(0));
        request.set(platform::kDeadlineHeader, std::to_string(left.count()));
    }
    co_return reply;
}

asio::awaitable<CallForwarder::Attempt> CallForwarder::send(const HttpRequest &request,
                                                            const Peer &peer, Millis remaining)
{
    const Instant now = monotonicNow();
    HttpCall call{.method = isPost(request)                     ? "POST"
                      : request.method() == http::verb::delete_ ? "DELETE"
                                                                : "GET",
                  .target = std::string(request.target()),
                  .body = request.body(),
                  .timeout = remaining - kHopReserve,
                  .isRetryable = !isPost(request),
                  .wantsHeaders = true};
    call.headers = {{kForwardedHeader, m_peers.self().name()},
                    {platform::kDeadlineHeader, std::to_string((remaining - kHopReserve).count())}};
    for (const char *name : {"Host", "Content-Type", platform::kApiKeyHeader}) {
        if (const std::string_view value = fieldOf(request, name); !value.empty())
            call.headers.emplace_back(name, std::string(value));
    }
    const Instant deadline = std::chrono::steady_clock::now() + call.timeout + kAnswerSlack;
    auto oneShot = std::make_shared<OneShot<HttpResult>>(m_io.get_executor());
    const std::shared_ptr<HttpClient> client = connectTo(peer.address, now);
    ++m_links[peer.address].callsInFlight;
    m_peers.onSent(peer.id);
    client->send(std::move(call),
                 [oneShot](HttpResult result) { oneShot->set(std::move(result)); });
    std::optional<HttpResult> response = co_await oneShot->wait(deadline);
    Attempt attempt;
    if (response) {
        attempt.result = resultOf(*response);
        attempt.response = std::move(*response);
    }
    Link &link = m_links[peer.address];
    --link.callsInFlight;
    link.lastUsed = monotonicNow();
    m_peers.onEnded(peer.id, attempt.result, link.lastUsed);
    co_return attempt;
}

std::shared_ptr<HttpClient> CallForwarder::connectTo(const std::string &address, Instant now)
{
    closeIdleLinks(now);
    Link &link = m_links[address];
    if (!link.client)
        link.client = std::make_shared<HttpClient>(m_io, address, PeerList::kMaxCallsPerPeer);
    link.lastUsed = now;
    return link.client;
}

void CallForwarder::closeIdleLinks(Instant now)
{
    std::erase_if(m_links, [now](const auto &entry) {
        const Link &link = entry.second;
        const bool isIdle = link.callsInFlight == 0 && now - link.lastUsed >= kLinkIdleTime;
        if (isIdle && link.client)
            link.client->close();
        return isIdle;
    });
}

} // namespace oleanderhall
