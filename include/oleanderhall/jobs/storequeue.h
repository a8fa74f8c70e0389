#pragma once

#include "oleanderhall/core/time.h"
#include "oleanderhall/jobs/storeoutcome.h"
#include "oleanderhall/jobs/storetimeestimator.h"
#include "oleanderhall/jobs/tablesilence.h"
#include "oleanderhall/jobs/taskid.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace oleanderhall {

/// A StoreQueue decides which jobs of one partition are sent to the table and when, and what their
/// callers are told. It does no I/O: the owner of the object carries out the steps that tick()
/// returns and reports their results. A job whose transaction was not answered may be stored until
/// an answer shows that it is; every other job that isn't stored was certainly not stored.
class StoreQueue
{
public:
    /// The result of a transaction that stores jobs.
    enum class Result {
        Done,
        Conflict, ///< Some of the jobs were stored already; the transaction had no effect.
        Refused, ///< It has no effect and never will have.
        Unanswered, ///< It may have an effect, or may have one later.
    };
    /// The outcome for one caller.
    struct Answer
    {
        std::uint64_t caller = 0;
        StoreOutcome outcome = StoreOutcome::Unknown;
        std::uint64_t version = 0;
    };
    /// What to do now.
    struct Step
    {
        std::vector<JobId> batch; ///< Store these jobs in one transaction; may be empty.
        Millis timeout{0}; ///< Of the batch's transaction.
        std::vector<JobId> reads; ///< Read the rows of these jobs.
        std::vector<Answer> answers;
    };

    /// Returns whether a new job that must be stored before `deadline` should be added. Otherwise
    /// it is better refused now. `comesLast` is as in add().
    bool admits(Instant deadline, bool comesLast, TableSilence::Stage table, Instant now) const;
    /// Adds `caller`, which waits until `deadline` for job `id`. A known job gets a further caller.
    /// Jobs with `comesLast` are sent only when no other job waits.
    void add(JobId id, std::size_t bytes, std::uint64_t caller, Instant deadline, bool comesLast);
    /// Returns whether the job waits to be sent or is in flight.
    bool contains(JobId id) const { return m_jobs.contains(id); }
    /// Reports the result of the batch in flight. `stored` names its jobs that were found stored.
    void onBatchResult(Result result, std::uint64_t version, const std::set<JobId> &stored,
                       Instant now);
    /// Refuses all jobs that are certainly not stored, so that another node can store them.
    void refuseUnsent();
    /// Reports that the row of a job was found, so that the job is stored.
    void onRowFound(JobId id, std::uint64_t version);
    /// Reports that a caller has cancelled the job while it wasn't stored, so that no write of it
    /// takes effect any more.
    void onWithdrawn(JobId id);
    /// Returns what is due. Must be called after each of the other functions, and at least every
    /// kTickInterval while jobs wait.
    /// Without `maySend`, as while another node writes for the partition, the step contains no
    /// batch: the rows of jobs that may be stored are still read.
    Step tick(TableSilence::Stage table, Instant now, bool maySend = true);

    bool empty() const { return m_jobs.empty(); }
    std::size_t size() const { return m_jobs.size(); }
    /// Returns the estimated time to store a job that arrives now.
    Millis expectedDelay(Instant now) const;

    static constexpr Millis kTickInterval{50};
    static constexpr std::size_t kMaxBatchJobs = 30; ///< Three of 100 entries each.

private:
    struct Caller
    {
        std::uint64_t number = 0;
        Instant deadline;
    };
    struct Job
    {
        std::size_t bytes = 0;
        std::vector<Caller> callers;
        bool comesLast = false;
        bool isUnanswered = false; ///< An earlier transaction with it was not answered.
        bool isInFlight = false;
        bool isRowRead = false;

        bool mayBeStored() const { return isUnanswered || isInFlight; }
    };

    void complete(JobId id, StoreOutcome outcome, std::uint64_t version);
    void requeue(JobId id);
    void expireCallers(TableSilence::Stage table, Instant now);
    void removeFromQueues(JobId id);
    void fillBatch(std::vector<JobId> &batch, Instant now);
    void moveToBatch(std::deque<JobId> &queue, std::size_t maxJobs, std::vector<JobId> &batch);
    void chooseReads(std::vector<JobId> &reads, Instant now);

    std::map<JobId, Job> m_jobs;
    std::deque<JobId> m_unanswered; ///< Jobs whose outcome is unknown, to be sent again.
    std::deque<JobId> m_unsent; ///< Jobs that are certainly not stored.
    std::deque<JobId> m_last; ///< The same for those that come last.
    std::vector<JobId> m_inFlight;
    std::vector<Answer> m_answers; ///< To be returned by the next tick().
    StoreTimeEstimator m_storeTime;
    Instant m_sentAt{}; ///< Of the batch in flight.
    Instant m_nextSend{};
    Millis m_retryDelay{0};
    bool m_wasUnanswered = false; ///< The last transaction ended without an answer.
};

} // namespace oleanderhall
