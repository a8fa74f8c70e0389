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

constexpr std::size_t kMaxBatchSize = 25; // claims per transaction
constexpr std::size_t kMaxOutcomeWrites = 20000; // queued while the table is unavailable
constexpr int kClaimThreads = 3; // transactions in flight
constexpr int kOutcomeWriteAttempts = 60;
constexpr int kReleaseAttempts = 5;
constexpr Millis kOutcomeRetryDelay{1000};
constexpr Millis kMaxClaimWait{1000}; // how long a request waits for the table
constexpr Millis kProbeInterval{500};
constexpr std::size_t kMaxStoredBodyBytes = 4096; // larger responses are not replayed

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
    : m_claimStore(table)
    , m_circuitBreaker(kProbeInterval)
{
    std::random_device seed;
    m_tokenPrefix = std::to_string(seed()) + "-" + std::to_string(seed());
    for (int index = 0; index < kClaimThreads; ++index)
        m_threads.emplace_back([this] { claimLoop(); });
    m_threads.emplace_back([this] { outcomeWriteLoop(); });
}

ClaimService::~ClaimService()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_claimsChanged.notify_all();
    m_outcomeWritesChanged.notify_all();
    for (std::thread &thread : m_threads)
        thread.join();
}

boost::asio::awaitable<ClaimOutcome> ClaimService::claim(std::string service, std::string key,
                                                         std::string content, Instant deadline)
{
    const Refusal unavailable = claimsUnavailable();
    const Instant now = std::chrono::steady_clock::now();
    const auto executor = co_await boost::asio::this_coro::executor;
    auto result = std::make_shared<OneShot<ClaimOutcome>>(executor);
    {
        const std::lock_guard lock(m_mutex);
        if (!m_circuitBreaker.allowRequest(now))
            co_return unavailable;
        ClaimRequest request{{"claim-" + service, std::move(key)}, hashOf(content), newToken()};
        m_pendingClaims.push_back({std::move(request), result});
    }
    m_claimsChanged.notify_one();
    std::optional<ClaimOutcome> outcome = co_await result->wait(
        std::min(deadline, now + kMaxClaimWait));
    if (outcome)
        co_return std::move(*outcome);
    co_return unavailable;
}

void ClaimService::recordOutcome(const ClaimHandle &handle, ClaimRecord record)
{
    if (record.hasStoredBody && record.body.size() > kMaxStoredBodyBytes) {
        record.body.clear();
        record.hasStoredBody = false;
    }
    enqueueWrite({handle, std::move(record), false, kOutcomeWriteAttempts, Instant{}});
}

void ClaimService::claimLoop()
{
    for (;;) {
        const std::vector<PendingClaim> batch = takeBatch();
        if (batch.empty())
            return;
        claimBatch(batch);
    }
}

std::vector<ClaimService::PendingClaim> ClaimService::takeBatch()
{
    std::unique_lock lock(m_mutex);
    m_claimsChanged.wait(lock, [this] { return m_isStopping || !m_pendingClaims.empty(); });
    std::vector<PendingClaim> batch;
    std::set<TableKey> keys;
    for (auto item = m_pendingClaims.begin();
         item != m_pendingClaims.end() && batch.size() < kMaxBatchSize;) {
        if (!keys.insert(item->request.key).second) {
            ++item;
            continue;
        }
        batch.push_back(std::move(*item));
        item = m_pendingClaims.erase(item);
    }
    return batch;
}

void ClaimService::claimBatch(const std::vector<PendingClaim> &batch)
{
    std::vector<ClaimRequest> requests;
    requests.reserve(batch.size());
    for (const PendingClaim &pending : batch)
        requests.push_back(pending.request);
    std::vector<ClaimOutcome> outcomes;
    try {
        outcomes = m_claimStore.claim(requests);
    } catch (const std::exception &) {
        outcomes.assign(batch.size(), claimsUnavailable());
    }
    updateCircuitBreaker(outcomes);
    for (std::size_t index = 0; index < batch.size(); ++index) {
        const auto *refusal = std::get_if<Refusal>(&outcomes[index]);
        // The table may still apply a claim that it did not confirm, and a claim whose request has
        // timed out is not used. Both are released in the background.
        const bool mayStillTakeEffect = refusal
            && refusal->reason == RefusalReason::ClaimsUnavailable;
        const bool isDelivered = batch[index].result->set(outcomes[index]);
        const bool isUnusedHandle = !isDelivered
            && std::holds_alternative<ClaimHandle>(outcomes[index]);
        if (!mayStillTakeEffect && !isUnusedHandle)
            continue;
        ClaimHandle handle{
            batch[index].request.key,
            0,
            {.token = batch[index].request.token, .requestHash = batch[index].request.requestHash}};
        enqueueWrite({handle, handle.record, true, kReleaseAttempts, Instant{}});
    }
}

void ClaimService::updateCircuitBreaker(const std::vector<ClaimOutcome> &outcomes)
{
    const bool isUnavailable = std::all_of(
        outcomes.begin(), outcomes.end(), [](const auto &outcome) {
            const auto *refusal = std::get_if<Refusal>(&outcome);
            return refusal && refusal->reason == RefusalReason::ClaimsUnavailable;
        });
    const std::lock_guard lock(m_mutex);
    if (isUnavailable)
        m_circuitBreaker.recordFailure(std::chrono::steady_clock::now());
    else
        m_circuitBreaker.recordSuccess();
}

void ClaimService::outcomeWriteLoop()
{
    std::unique_lock lock(m_mutex);
    for (;;) {
        m_outcomeWritesChanged.wait(lock,
                                    [this] { return m_isStopping || !m_outcomeWrites.empty(); });
        if (m_outcomeWrites.empty())
            return;
        OutcomeWrite write = std::move(m_outcomeWrites.front());
        m_outcomeWrites.pop_front();
        const Instant now = std::chrono::steady_clock::now();
        if (write.notBefore > now) {
            m_outcomeWrites.push_back(std::move(write));
            constexpr Millis kPollInterval{50}; // after each write that is not due yet
            m_outcomeWritesChanged.wait_for(lock, kPollInterval);
            if (m_isStopping)
                return;
            continue;
        }
        lock.unlock();
        const bool isDone = writeOutcome(write);
        lock.lock();
        if (isDone || --write.attemptsLeft <= 0)
            continue;
        write.notBefore = std::chrono::steady_clock::now() + kOutcomeRetryDelay;
        m_outcomeWrites.push_back(std::move(write));
    }
}

bool ClaimService::writeOutcome(const OutcomeWrite &write)
{
    try {
        if (!write.isRelease)
            return m_claimStore.recordOutcome(write.handle, write.record);
        return m_claimStore.releaseIfHeld(
            {write.handle.key, write.record.requestHash, write.record.token});
    } catch (const std::exception &) {
        return false;
    }
}

void ClaimService::enqueueWrite(OutcomeWrite write)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_outcomeWrites.size() >= kMaxOutcomeWrites)
            return; // The claim stays open: repetitions are refused with an unknown outcome.
        m_outcomeWrites.push_back(std::move(write));
    }
    m_outcomeWritesChanged.notify_one();
}

std::string ClaimService::newToken()
{
    return m_tokenPrefix + "-" + std::to_string(++m_lastToken);
}

} // namespace oleanderhall
