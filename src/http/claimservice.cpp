#include <utility>

#include "claimservice.h"

#include <boost/asio/this_coro.hpp>
#include <xxhash.h>

#include <algorithm>
#include <cstdio>
#include <random>
#include <set>

namespace oleanderhall {

namespace {

constexpr std::size_t kMaxBatch = 25; // claims in one transaction
constexpr std::size_t kMaxEndings = 20000; // endings kept while the table is away
constexpr int kClaimThreads = 3;
constexpr int kEndingTries = 60;
constexpr int kReleaseTries = 5;
constexpr Millis kEndingRetryDelay{1000};
constexpr Millis kLongestClaim{1000}; // a request waits no longer for the table
constexpr Millis kOutageProbePeriod{500};
constexpr std::size_t kMaxKeptBody = 4096; // bytes of an answer kept for repetitions

std::string hashOf(const std::string &text)
{
    const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
    char digits[33];
    std::snprintf(digits, sizeof digits, "%016llx%016llx",
                  static_cast<unsigned long long>(hash.high64),
                  static_cast<unsigned long long>(hash.low64));
    return digits;
}

Refusal claimsUnavailable()
{
    return {RefusalReason::ClaimsUnavailable, ExecutionStatus::NotExecuted, Millis(1000)};
}

} // namespace

ClaimService::ClaimService(DynamoTable &table)
    : m_ledger(table)
    , m_outage(kOutageProbePeriod)
{
    std::random_device seed;
    m_tokenPrefix = std::to_string(seed()) + "-" + std::to_string(seed());
    for (int index = 0; index < kClaimThreads; ++index)
        m_threads.emplace_back([this] { claimLoop(); });
    m_threads.emplace_back([this] { endingLoop(); });
}

ClaimService::~ClaimService()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_claimsChanged.notify_all();
    m_endingsChanged.notify_all();
    for (std::thread &thread : m_threads)
        thread.join();
}

boost::asio::awaitable<ClaimOutcome> ClaimService::claim(std::string service, std::string key,
                                                         std::string body, Instant deadline)
{
    const Refusal unavailable = claimsUnavailable();
    const Instant now = std::chrono::steady_clock::now();
    const auto executor = co_await boost::asio::this_coro::executor;
    auto result = std::make_shared<OneShot<ClaimOutcome>>(executor);
    {
        const std::lock_guard lock(m_mutex);
        if (!m_outage.allowRequest(now))
            co_return unavailable;
        ClaimRequest request{{"claim-" + service, std::move(key)}, hashOf(body), newToken()};
        m_pending.push_back({std::move(request), result});
    }
    m_claimsChanged.notify_one();
    std::optional<ClaimOutcome> outcome = co_await result->wait(
        std::min(deadline, now + kLongestClaim));
    if (outcome)
        co_return std::move(*outcome);
    co_return unavailable;
}

void ClaimService::settle(const ClaimHandle &handle, ClaimRecord record)
{
    if (record.hasStoredBody && record.body.size() > kMaxKeptBody) {
        record.body.clear();
        record.hasStoredBody = false;
    }
    addEnding({handle, std::move(record), false, kEndingTries, Instant{}});
}

void ClaimService::claimLoop()
{
    for (;;) {
        const std::vector<Pending> batch = takeBatch();
        if (batch.empty())
            return;
        runBatch(batch);
    }
}

std::vector<ClaimService::Pending> ClaimService::takeBatch()
{
    std::unique_lock lock(m_mutex);
    m_claimsChanged.wait(lock, [this] { return m_isStopping || !m_pending.empty(); });
    std::vector<Pending> batch;
    std::set<TableKey> keys;
    for (auto item = m_pending.begin(); item != m_pending.end() && batch.size() < kMaxBatch;) {
        if (!keys.insert(item->request.key).second) {
            ++item;
            continue;
        }
        batch.push_back(std::move(*item));
        item = m_pending.erase(item);
    }
    return batch;
}

void ClaimService::runBatch(const std::vector<Pending> &batch)
{
    std::vector<ClaimRequest> requests;
    requests.reserve(batch.size());
    for (const Pending &pending : batch)
        requests.push_back(pending.request);
    std::vector<ClaimOutcome> outcomes;
    try {
        outcomes = m_ledger.claim(requests);
    } catch (const std::exception &) {
        outcomes.assign(batch.size(), claimsUnavailable());
    }
    noteOutcome(outcomes);
    for (std::size_t index = 0; index < batch.size(); ++index) {
        const auto *refusal = std::get_if<Refusal>(&outcomes[index]);
        const bool mayStillLand = refusal && refusal->reason == RefusalReason::ClaimsUnavailable;
        const bool isTaken = batch[index].result->set(outcomes[index]);
        const bool isUnusedHandle = !isTaken
            && std::holds_alternative<ClaimHandle>(outcomes[index]);
        if (!mayStillLand && !isUnusedHandle)
            continue;
        ClaimHandle handle{
            batch[index].request.key,
            0,
            {.token = batch[index].request.token, .requestHash = batch[index].request.requestHash}};
        addEnding({handle, handle.record, true, kReleaseTries, Instant{}});
    }
}

void ClaimService::noteOutcome(const std::vector<ClaimOutcome> &outcomes)
{
    const bool isAway = std::all_of(outcomes.begin(), outcomes.end(), [](const auto &outcome) {
        const auto *refusal = std::get_if<Refusal>(&outcome);
        return refusal && refusal->reason == RefusalReason::ClaimsUnavailable;
    });
    const std::lock_guard lock(m_mutex);
    if (isAway)
        m_outage.recordFailure(std::chrono::steady_clock::now());
    else
        m_outage.recordSuccess();
}

void ClaimService::endingLoop()
{
    std::unique_lock lock(m_mutex);
    for (;;) {
        m_endingsChanged.wait(lock, [this] { return m_isStopping || !m_endings.empty(); });
        if (m_endings.empty())
            return;
        Ending ending = std::move(m_endings.front());
        m_endings.pop_front();
        const Instant now = std::chrono::steady_clock::now();
        if (ending.notBefore > now) {
            m_endings.push_back(std::move(ending));
            m_endingsChanged.wait_for(lock, Millis(50));
            if (m_isStopping)
                return;
            continue;
        }
        lock.unlock();
        const bool isDone = runEnding(ending);
        lock.lock();
        if (isDone || --ending.triesLeft <= 0)
            continue;
        ending.notBefore = std::chrono::steady_clock::now() + kEndingRetryDelay;
        m_endings.push_back(std::move(ending));
    }
}

bool ClaimService::runEnding(const Ending &ending)
{
    try {
        if (!ending.isRelease)
            return m_ledger.recordOutcome(ending.handle, ending.record);
        return m_ledger.releaseIfHeld(
            {ending.handle.key, ending.record.requestHash, ending.record.token});
    } catch (const std::exception &) {
        return false;
    }
}

void ClaimService::addEnding(Ending ending)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_endings.size() >= kMaxEndings)
            return; // The claim stays open: repetitions are told that the outcome is unknown.
        m_endings.push_back(std::move(ending));
    }
    m_endingsChanged.notify_one();
}

std::string ClaimService::newToken()
{
    return m_tokenPrefix + "-" + std::to_string(++m_lastToken);
}

} // namespace oleanderhall
