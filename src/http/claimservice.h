#pragma once

#include <utility>

#include "oneshot.h"

#include "oleanderhall/platform/dynamotable.h"
#include "oleanderhall/routing/circuitbreaker.h"
#include "oleanderhall/routing/claimstore.h"

#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace oleanderhall {

/// Internal: asynchronous access to the claims of unrepeatable requests. Claims that are pending at
/// the same time are written to the table in one transaction. The outcomes of requests are written
/// in the background, with a limited number of attempts if the table is unavailable. Thread-safe.
class ClaimService
{
public:
    explicit ClaimService(DynamoTable &table);
    ~ClaimService();
    ClaimService(const ClaimService &) = delete;
    ClaimService &operator=(const ClaimService &) = delete;

    /// Claims the right to send a request with the idempotency key `key`. A repetition with the
    /// same key must have the same `content` (method, target and body). Completes with the claim,
    /// the stored response or a refusal. The refusal is ClaimsUnavailable if the table doesn't
    /// respond within a fixed time or by `deadline`; while the circuit breaker is open, this
    /// refusal is immediate.
    boost::asio::awaitable<ClaimOutcome> claim(std::string service, std::string key,
                                               std::string content, Instant deadline);
    /// Queues the outcome of a request for writing to its claim. Doesn't block. If the table stays
    /// unavailable, the queue is full or the service stops before a further attempt, the outcome is
    /// dropped and the claim stays open.
    void recordOutcome(const ClaimHandle &handle, ClaimRecord record);

private:
    struct PendingClaim
    {
        ClaimRequest request;
        std::shared_ptr<OneShot<ClaimOutcome>> result;
    };
    struct OutcomeWrite
    {
        ClaimHandle handle;
        ClaimRecord record;
        /// Whether to release the claim, provided that its row holds the handle's token.
        bool isRelease = false;
        int attemptsLeft = 0;
        Instant notBefore;
    };

    void claimLoop();
    void outcomeWriteLoop();
    /// Returns the claims of the next transaction, at most one for each key. Blocks until there are
    /// some. Returns none when the service is stopping and no claim is pending.
    std::vector<PendingClaim> takeBatch();
    void claimBatch(const std::vector<PendingClaim> &batch);
    /// Returns false if the write has to be attempted again.
    bool writeOutcome(const OutcomeWrite &write);
    void enqueueWrite(OutcomeWrite write);
    /// Records a failure if every claim of the batch ended with ClaimsUnavailable, otherwise a
    /// success.
    void updateCircuitBreaker(const std::vector<ClaimOutcome> &outcomes);
    std::string newToken();

    ClaimStore<DynamoTable> m_claimStore;
    std::string m_tokenPrefix;
    std::mutex m_mutex;
    std::condition_variable m_claimsChanged;
    std::condition_variable m_outcomeWritesChanged;
    CircuitBreaker m_circuitBreaker;
    bool m_isStopping = false;
    std::uint64_t m_lastToken = 0;
    std::deque<PendingClaim> m_pendingClaims;
    std::deque<OutcomeWrite> m_outcomeWrites;
    std::vector<std::thread> m_threads;
};

} // namespace oleanderhall
