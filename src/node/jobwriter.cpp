#include <utility>

#include "jobwriter.h"

#include "storednames.h"

#include "oleanderhall/core/clock.h"
#include "oleanderhall/jobs/jobcodec.h"
#include "oleanderhall/jobs/jobprogress.h"

#include <set>

namespace oleanderhall {

namespace {

constexpr Millis kReadTimeout{400}; // a caller's time limit passes soon after

StoreQueue::Result resultOf(platform::TransactionResult::Outcome outcome)
{
    using Outcome = platform::TransactionResult::Outcome;
    switch (outcome) {
    case Outcome::Done:
        return StoreQueue::Result::Done;
    case Outcome::Conflict:
        return StoreQueue::Result::Conflict;
    case Outcome::Refused:
        return StoreQueue::Result::Refused;
    case Outcome::Unknown:
        break;
    }
    return StoreQueue::Result::Unanswered;
}

/// Returns whether the row of the job's progress shows that the job was cancelled before it was
/// stored.
bool isWithdrawn(JobId id, const platform::TableRow &row)
{
    const std::optional<JobProgress> progress = decodeProgress(id, row.value);
    return progress && progress->isWithdrawn;
}

} // namespace

JobWriter::JobWriter(boost::asio::io_context &io, platform::TableClient &table, TableProbe &probe,
                     std::string partition)
    : m_table(table)
    , m_probe(probe)
    , m_partition(std::move(partition))
    , m_timer(io)
{}

void JobWriter::store(const JobSpec &job, Instant deadline, bool comesLast, Done done)
{
    const Instant now = monotonicNow();
    if (!m_queue.contains(job.id)) {
        if (!m_queue.admits(deadline, comesLast, m_probe.stage(now), now)) {
            done(StoreOutcome::Refused, 0);
            return;
        }
        m_jobs[job.id] = {.spec = encodeJob(job),
                          .progress = encodeProgress({.id = job.id,
                                                      .team = job.team,
                                                      .acceptedMs = job.acceptedMs,
                                                      .isReleased = job.isReleased})};
    }
    const std::uint64_t caller = ++m_lastCaller;
    m_callers.emplace(caller, std::move(done));
    m_queue.add(job.id, m_jobs.at(job.id).spec.size(), caller, deadline, comesLast);
    step();
    scheduleStep();
}

void JobWriter::scheduleStep()
{
    if (m_isStepScheduled || m_queue.empty())
        return;
    m_isStepScheduled = true;
    m_timer.expires_after(StoreQueue::kTickInterval);
    m_timer.async_wait([this](const boost::system::error_code &error) {
        if (error)
            return;
        m_isStepScheduled = false;
        if (m_isBetterElsewhere && m_isBetterElsewhere())
            m_queue.refuseUnsent(); // they would wait for a transaction that isn't answered
        step();
        scheduleStep();
    });
}

void JobWriter::step()
{
    const Instant now = monotonicNow();
    // A job whose outcome is unknown isn't sent again into a slow table either: a few such jobs on
    // each of many nodes keep the queue of its partition full.
    const bool maySend = !m_isBetterElsewhere || !m_isBetterElsewhere();
    const StoreQueue::Step step = m_queue.tick(m_probe.stage(now), now, maySend);
    if (!step.batch.empty())
        send(step.batch, step.timeout);
    for (const JobId id : step.reads)
        readRow(id);
    if (m_jobs.size() > m_queue.size())
        std::erase_if(m_jobs, [this](const auto &job) { return !m_queue.contains(job.first); });
    for (const StoreQueue::Answer &answer : step.answers) {
        const auto caller = m_callers.find(answer.caller);
        if (caller == m_callers.end())
            continue;
        const Done done = std::move(caller->second);
        m_callers.erase(caller);
        done(answer.outcome, answer.version);
    }
}

void JobWriter::send(const std::vector<JobId> &batch, Millis timeout)
{
    platform::Transaction transaction{.partition = m_partition};
    for (const JobId id : batch) {
        const EncodedJob &job = m_jobs.at(id);
        const std::string progressKey = jobKey(id, JobRow::Progress);
        transaction.preconditions.push_back({kProgressTable, progressKey, 0});
        transaction.writes.push_back({kJobTable, jobKey(id, JobRow::Spec), job.spec});
        transaction.writes.push_back({kProgressTable, progressKey, job.progress});
    }
    const Instant sentAt = monotonicNow();
    m_probe.onSent(sentAt);
    m_table.transact(transaction, timeout,
                     [this, sentAt](const platform::TransactionResult &result) {
                         onBatchAnswered(result, sentAt);
                     });
}

void JobWriter::onBatchAnswered(const platform::TransactionResult &result, Instant sentAt)
{
    const Instant now = monotonicNow();
    if (result.outcome == platform::TransactionResult::Outcome::Unknown)
        m_probe.onUnanswered(sentAt);
    else
        m_probe.onAnswered(sentAt, now);
    std::set<JobId> stored;
    std::vector<JobId> withdrawn;
    if (result.outcome == platform::TransactionResult::Outcome::Conflict) {
        for (const platform::TableRow &row : result.rows) {
            const auto key = parseJobKey(row.key);
            if (!key || key->row != JobRow::Progress || row.version == 0 || row.isDeleted)
                continue;
            if (isWithdrawn(key->id, row))
                withdrawn.push_back(key->id);
            else
                stored.insert(key->id);
        }
    }
    m_queue.onBatchResult(resultOf(result.outcome), result.version, stored, now);
    for (const JobId id : withdrawn)
        m_queue.onWithdrawn(id);
    if (result.outcome == platform::TransactionResult::Outcome::Refused && m_isBetterElsewhere
        && m_isBetterElsewhere())
        m_queue.refuseUnsent();
    step();
}

void JobWriter::readRow(JobId id)
{
    const std::string key = jobKey(id, JobRow::Progress);
    m_table.read(kProgressTable, m_partition, key, key + " ", kReadTimeout,
                 [this, id](const platform::ReadResult &result) {
                     if (!result.isSuccess || result.rows.empty())
                         return;
                     const platform::TableRow &row = result.rows.front();
                     if (isWithdrawn(id, row))
                         m_queue.onWithdrawn(id);
                     else
                         m_queue.onRowFound(id, row.version);
                     step();
                 });
}

} // namespace oleanderhall
