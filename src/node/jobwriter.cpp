#include "jobwriter.h"

#include "storednames.h"

#include "oleanderhall/core/clock.h"
#include "oleanderhall/jobs/jobcodec.h"
#include "oleanderhall/jobs/jobprogress.h"

#include <algorithm>
#include <set>

namespace oleanderhall {

namespace {

constexpr std::size_t kMaxBatchJobs = 30; // three entries each; a transaction may hold 100
// Limit for the encoded jobs of a batch, which are sent as base64 in a call of at most 1 MB.
constexpr std::size_t kMaxBatchBytes = 400UL << 10;
// A partition of the table refuses transactions once those in its queue take more than one second.
// A slow partition takes several hundred milliseconds for each.
constexpr Millis kStoreTimeout{2500};
constexpr Millis kRetryDelay{100};
constexpr Millis kDeadlineCheckInterval{50};

} // namespace

JobWriter::JobWriter(boost::asio::io_context &io, platform::TableClient &table,
                     std::string partition)
    : m_table(table)
    , m_partition(std::move(partition))
    , m_retryTimer(io)
    , m_deadlineTimer(io)
{}

void JobWriter::store(const JobSpec &job, Instant deadline, Done done)
{
    const auto known = m_jobs.find(job.id);
    if (known == m_jobs.end() && monotonicNow() + m_storeTime.estimate(monotonicNow()) > deadline) {
        done(StoreOutcome::Refused, 0); // would not be confirmed before the deadline
        return;
    }
    PendingJobPtr &pending = m_jobs[job.id];
    if (!pending) {
        pending = std::make_shared<PendingJob>();
        pending->id = job.id;
        pending->spec = encodeJob(job);
        pending->progress = encodeProgress({.id = job.id,
                                            .team = job.team,
                                            .acceptedMs = job.acceptedMs,
                                            .isReleased = job.isReleased});
        m_queue.push_back(pending);
    }
    pending->callers.push_back({deadline, std::move(done)});
    sendBatch();
    scheduleDeadlineCheck();
}

void JobWriter::scheduleDeadlineCheck()
{
    if (m_isDeadlineCheckScheduled || m_jobs.empty())
        return;
    m_isDeadlineCheckScheduled = true;
    m_deadlineTimer.expires_after(kDeadlineCheckInterval);
    m_deadlineTimer.async_wait([this](const boost::system::error_code &error) {
        if (error)
            return;
        m_isDeadlineCheckScheduled = false;
        expireCallers();
        if (m_isBetterElsewhere && m_isBetterElsewhere())
            handOffQueued(); // they would wait for a transaction that isn't answered
        scheduleDeadlineCheck();
    });
}

void JobWriter::complete(const PendingJobPtr &pending, StoreOutcome outcome, std::uint64_t version)
{
    m_jobs.erase(pending->id);
    for (const WaitingCaller &caller : std::exchange(pending->callers, {}))
        caller.done(outcome, version);
}

/// Answers the callers whose deadline has passed. A job that was never sent is removed with its
/// last caller.
void JobWriter::expireCallers()
{
    const Instant now = monotonicNow();
    std::vector<std::pair<Done, StoreOutcome>> expired;
    for (const auto &[id, pending] : m_jobs) {
        const bool isQueued = std::find(m_queue.begin(), m_queue.end(), pending) != m_queue.end();
        const bool mayBeStored = pending->mayBeStored || !isQueued;
        std::erase_if(pending->callers, [&](WaitingCaller &caller) {
            if (now < caller.deadline)
                return false;
            expired.emplace_back(std::move(caller.done),
                                 mayBeStored ? StoreOutcome::Unknown : StoreOutcome::Refused);
            return true;
        });
    }
    std::erase_if(m_queue, [&](const PendingJobPtr &pending) {
        if (!pending->callers.empty())
            return false;
        m_jobs.erase(pending->id);
        return true;
    });
    for (const auto &[done, outcome] : expired)
        done(outcome, 0);
}

void JobWriter::handOffQueued()
{
    std::vector<PendingJobPtr> refused;
    std::erase_if(m_queue, [&](const PendingJobPtr &pending) {
        if (pending->mayBeStored)
            return false;
        refused.push_back(pending);
        return true;
    });
    for (const PendingJobPtr &pending : refused)
        complete(pending, StoreOutcome::Refused, 0);
}

void JobWriter::sendBatch()
{
    if (m_queue.empty() || m_isInFlight || m_isBackingOff)
        return;
    Batch batch;
    std::size_t bytes = 0;
    while (!m_queue.empty() && batch.size() < kMaxBatchJobs && bytes < kMaxBatchBytes) {
        bytes += m_queue.front()->spec.size();
        batch.push_back(std::move(m_queue.front()));
        m_queue.pop_front();
    }
    platform::Transaction transaction{.partition = m_partition};
    for (const PendingJobPtr &pending : batch) {
        const std::string progressKey = jobKey(pending->id, JobRow::Progress);
        transaction.preconditions.push_back({kProgressTable, progressKey, 0});
        transaction.writes.push_back({kJobTable, jobKey(pending->id, JobRow::Spec), pending->spec});
        transaction.writes.push_back({kProgressTable, progressKey, pending->progress});
    }
    m_isInFlight = true;
    m_storeTime.onSent(monotonicNow());
    m_table.transact(transaction, kStoreTimeout,
                     [this, batch = std::move(batch)](const platform::TransactionResult &result) {
                         onBatchAnswered(batch, result);
                     });
}

void JobWriter::onBatchAnswered(const Batch &batch, const platform::TransactionResult &result)
{
    using Outcome = platform::TransactionResult::Outcome;
    m_isInFlight = false;
    m_storeTime.onCompleted(monotonicNow());
    std::set<std::string> storedKeys;
    if (result.outcome == Outcome::Conflict) {
        for (const platform::TableRow &row : result.rows) {
            if (row.version > 0 && !row.isDeleted)
                storedKeys.insert(row.key);
        }
    }
    for (auto pending = batch.rbegin(); pending != batch.rend(); ++pending) {
        if (result.outcome == Outcome::Done) {
            complete(*pending, StoreOutcome::Stored, result.version);
        } else if (storedKeys.contains(jobKey((*pending)->id, JobRow::Progress))) {
            complete(*pending, StoreOutcome::AlreadyStored, result.version);
        } else {
            (*pending)->mayBeStored = (*pending)->mayBeStored || result.outcome == Outcome::Unknown;
            m_queue.push_front(*pending);
        }
    }
    expireCallers();
    if (result.outcome == Outcome::Refused && m_isBetterElsewhere && m_isBetterElsewhere())
        handOffQueued();
    if (result.outcome == Outcome::Refused || result.outcome == Outcome::Unknown) {
        m_isBackingOff = true;
        m_retryTimer.expires_after(kRetryDelay);
        m_retryTimer.async_wait([this](const boost::system::error_code &error) {
            if (error)
                return;
            m_isBackingOff = false;
            sendBatch();
        });
        return;
    }
    sendBatch();
}

} // namespace oleanderhall
