#pragma once

#include "../../platform/tableclient.h"

#include "oleanderhall/core/time.h"
#include "oleanderhall/jobs/jobspec.h"
#include "oleanderhall/jobs/storetimeestimator.h"

#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace oleanderhall {

/// Internal: the result of storing a job.
enum class StoreOutcome {
    Stored,
    AlreadyStored, ///< A job with this id is stored; it is taken for the same job.
    Refused, ///< Certainly not stored.
    Unknown, ///< It may have been stored, or may be stored later.
};

/// Internal: stores accepted jobs in batches. Jobs that arrive while a transaction is in flight go
/// together into the next one, as a slow table executes few transactions a second. A caller is
/// answered at its deadline, but its transaction continues: an abandoned one would still occupy the
/// table's queue.
class JobWriter
{
public:
    using Done = std::function<void(StoreOutcome, std::uint64_t version)>;

    /// Writes to one `partition` of the job tables; every stored job must belong to it.
    JobWriter(boost::asio::io_context &io, platform::TableClient &table, std::string partition);

    /// Stores `job` and calls `done` once, shortly after `deadline` at the latest. Concurrent calls
    /// may store the same job.
    void store(const JobSpec &job, Instant deadline, Done done);

    /// Is asked when the table has rejected a batch, and regularly while jobs wait. If it returns
    /// true, queued jobs that are certainly not stored end as Refused at once, so that another node
    /// can store them.
    void setHandOff(std::function<bool()> isBetterElsewhere)
    {
        m_isBetterElsewhere = std::move(isBetterElsewhere);
    }

    /// Returns the estimated time to store a job that arrives now.
    Millis expectedDelay(Instant now) const { return m_storeTime.estimate(now); }

private:
    struct WaitingCaller
    {
        Instant deadline;
        Done done;
    };
    struct PendingJob
    {
        JobId id;
        std::string spec;
        std::string progress;
        std::vector<WaitingCaller> callers;
        bool mayBeStored = false;
    };
    using PendingJobPtr = std::shared_ptr<PendingJob>;
    using Batch = std::vector<PendingJobPtr>;

    void sendBatch();
    void onBatchAnswered(const Batch &batch, const platform::TransactionResult &result);
    void complete(const PendingJobPtr &pending, StoreOutcome outcome, std::uint64_t version);
    void expireCallers();
    void handOffQueued();
    void scheduleDeadlineCheck();

    platform::TableClient &m_table;
    std::string m_partition;
    std::function<bool()> m_isBetterElsewhere;
    boost::asio::steady_timer m_retryTimer;
    boost::asio::steady_timer m_deadlineTimer;
    std::map<JobId, PendingJobPtr> m_jobs; ///< Queued or in flight.
    std::deque<PendingJobPtr> m_queue;
    bool m_isInFlight = false;
    StoreTimeEstimator m_storeTime;
    bool m_isBackingOff = false;
    bool m_isDeadlineCheckScheduled = false;
};

} // namespace oleanderhall
