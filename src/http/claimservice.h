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
    void settle(const ClaimHandle &handle, ClaimRecord record);

private:
    struct Pending
    {
        ClaimRequest request;
        std::shared_ptr<OneShot<ClaimOutcome>> result;
    };
    struct Ending
    {
        ClaimHandle handle;
        ClaimRecord record;
        bool isRelease = false; ///< Release whatever row holds the handle's token.
        int triesLeft = 0;
        Instant notBefore;
    };

    void claimLoop();
    void endingLoop();
    std::vector<Pending> takeBatch();
    void runBatch(const std::vector<Pending> &batch);
    bool runEnding(const Ending &ending);
    void addEnding(Ending ending);
    void noteOutcome(const std::vector<ClaimOutcome> &outcomes);
    std::string newToken();

    ClaimStore<DynamoTable> m_ledger;
    std::string m_tokenPrefix;
    std::mutex m_mutex;
    std::condition_variable m_claimsChanged;
    std::condition_variable m_endingsChanged;
    CircuitBreaker m_outage;
    bool m_isStopping = false;
    std::uint64_t m_lastToken = 0;
    std::deque<Pending> m_pending;
    std::deque<Ending> m_endings;
    std::vector<std::thread> m_threads;
};

} // namespace oleanderhall
