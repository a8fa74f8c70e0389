#pragma once

#include "tableprobe.h"

#include "../../platform/tableclient.h"

#include "oleanderhall/core/time.h"
#include "oleanderhall/jobs/jobspec.h"
#include "oleanderhall/jobs/storequeue.h"

#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace oleanderhall {

/// Internal: stores accepted jobs in batches. Jobs that arrive while a transaction is in flight go
/// together into the next one, as a slow table executes few transactions a second. A caller is
/// answered at its deadline, but its transaction continues: an abandoned one would still occupy the
/// table's queue. The StoreQueue decides what is sent and when; this class carries it out.
class JobWriter
{
public:
    using Done = std::function<void(StoreOutcome, std::uint64_t version)>;

    /// Writes to one `partition` of the job tables; every stored job must belong to it. `probe` is
    /// shared by the writers of a node.
    JobWriter(boost::asio::io_context &io, platform::TableClient &table, TableProbe &probe,
              std::string partition);

    /// Stores `job` and calls `done` once, shortly after `deadline` at the latest. Concurrent calls
    /// may store the same job. A job that `comesLast` is sent only when no other waits.
    void store(const JobSpec &job, Instant deadline, bool comesLast, Done done);

    /// Returns whether the job waits to be stored or is being stored.
    bool contains(JobId id) const { return m_queue.contains(id); }

    /// Is asked when the table has rejected a batch, and regularly while jobs wait. If it returns
    /// true, queued jobs that are certainly not stored end as Refused at once, so that another node
    /// can store them.
    void setHandOff(std::function<bool()> isBetterElsewhere)
    {
        m_isBetterElsewhere = std::move(isBetterElsewhere);
    }

    /// Returns the estimated time to store a job that arrives now.
    Millis expectedDelay(Instant now) const { return m_queue.expectedDelay(now); }

private:
    struct EncodedJob
    {
        std::string spec;
        std::string progress;
    };

    void step();
    void scheduleStep();
    void send(const std::vector<JobId> &batch, Millis timeout);
    void onBatchAnswered(const platform::TransactionResult &result, Instant sentAt);
    void readRow(JobId id);

    platform::TableClient &m_table;
    TableProbe &m_probe;
    std::string m_partition;
    std::function<bool()> m_isBetterElsewhere;
    boost::asio::steady_timer m_timer;
    StoreQueue m_queue;
    std::map<JobId, EncodedJob> m_jobs; ///< Those in `m_queue`.
    std::map<std::uint64_t, Done> m_callers; ///< By the numbers passed to `m_queue`.
    std::uint64_t m_lastCaller = 0;
    bool m_isStepScheduled = false;
};

} // namespace oleanderhall
