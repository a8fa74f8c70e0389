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

/// Internal: what became of a job that was to be stored.
enum class StoreOutcome {
    Stored,
    AlreadyStored, ///< A job with this id stands there; it is the same job.
    Refused, ///< Certainly not stored.
    Unknown, ///< It may be stored, or may be later.
};

/// Internal: stores accepted jobs. Jobs that arrive while a transaction is under way go together in
/// the next one, as a slow table takes few transactions a second. A caller whose time runs out is
/// answered, but its transaction goes on: given up ones would fill the table's queue for nothing.
class JobWriter
{
public:
    using Done = std::function<void(StoreOutcome, std::uint64_t version)>;

    /// `part` is the table's part in which the jobs lie.
    JobWriter(boost::asio::io_context &io, platform::TableClient &table, std::string part);

    /// Stores `job` and calls `done` once, by `latest` at the latest. The same job may be stored by
    /// several calls at once.
    void store(const JobSpec &job, Instant latest, Done done);

    /// Returns the time until a job that arrives now is stored, as far as is known.
    Millis expected(Instant now) const { return m_storeTime.estimate(now); }

private:
    struct Caller
    {
        Instant latest;
        Done done;
    };
    struct Waiting
    {
        JobId id;
        std::string spec;
        std::string progress;
        std::vector<Caller> callers;
        bool mayBeStored = false;
    };
    using WaitingPtr = std::shared_ptr<Waiting>;
    using Batch = std::vector<WaitingPtr>;

    void send();
    void answered(const Batch &batch, const platform::TransactionResult &result);
    void finish(const WaitingPtr &waiting, StoreOutcome outcome, std::uint64_t version);
    void giveUpLate();
    void watch();

    platform::TableClient &m_table;
    std::string m_part;
    boost::asio::steady_timer m_retryTimer;
    boost::asio::steady_timer m_lateTimer;
    std::map<JobId, WaitingPtr> m_jobs; ///< Queued or under way.
    std::deque<WaitingPtr> m_queue;
    bool m_isInFlight = false;
    StoreTimeEstimator m_storeTime;
    bool m_isPausing = false;
    bool m_isWatching = false;
};

} // namespace oleanderhall
