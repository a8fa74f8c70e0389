#pragma once

#include <utility>

#include "oneshot.h"

#include "oleanderhall/platform/dynamotable.h"
#include "oleanderhall/routing/claimledger.h"
#include "oleanderhall/routing/outagegate.h"

#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace oleanderhall {

/// Internal: lets coroutines claim unrepeatable requests. Claims that arrive together go to the
/// table as one transaction; how requests ended is written afterwards, and tried again while the
/// table is away.
class ClaimService
{
public:
    explicit ClaimService(DynamoTable &table);
    ~ClaimService();
    ClaimService(const ClaimService &) = delete;
    ClaimService &operator=(const ClaimService &) = delete;

    /// Claims the right to send a request, at most until `deadline`.
    boost::asio::awaitable<ClaimOutcome> claim(std::string service, std::string key,
                                               std::string body, Instant deadline);
    /// Records how the request ended. Returns at once.
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
        bool isRelease = false; ///< Release whatever row holds the handle's token.
        int attemptsLeft = 0;
        Instant notBefore;
    };

    void claimLoop();
    void outcomeWriteLoop();
    std::vector<PendingClaim> takeBatch();
    void claimBatch(const std::vector<PendingClaim> &batch);
    bool writeOutcome(const OutcomeWrite &ending);
    void enqueueWrite(OutcomeWrite ending);
    void updateCircuitBreaker(const std::vector<ClaimOutcome> &outcomes);
    std::string newToken();

    ClaimLedger<DynamoTable> m_claimStore;
    std::string m_tokenPrefix;
    std::mutex m_mutex;
    std::condition_variable m_claimsChanged;
    std::condition_variable m_outcomeWritesChanged;
    OutageGate m_circuitBreaker;
    bool m_isStopping = false;
    std::uint64_t m_lastToken = 0;
    std::deque<PendingClaim> m_pendingClaims;
    std::deque<OutcomeWrite> m_outcomeWrites;
    std::vector<std::thread> m_threads;
};

} // namespace oleanderhall
