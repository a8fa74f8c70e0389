#include "oleanderhall/jobs/storequeue.h"

#include <algorithm>
#include <utility>

namespace oleanderhall {

namespace {

// Limit for the encoded jobs of a batch, which are sent as base64 in a call of at most 1 MB.
constexpr std::size_t kMaxBatchBytes = 400UL << 10;
// The longest time that a slow partition takes: 1 s for the transactions in its queue, and 240 ms
// each for the one that it executes and for this one. The rest is for small hosts.
constexpr Millis kMaxAnswerTimeout{1800};
// Where the table answers faster, jobs of a lost answer are sent again with time left to answer.
constexpr Millis kMinAnswerTimeout{1000};
constexpr int kAnswerTimeoutDurations = 8;
// After a refusal. Many hosts compete for the places in a slow partition's queue.
constexpr Millis kMinRetryDelay{100};
constexpr Millis kMaxRetryDelay{400};
// Time for a read before a caller is told that the outcome is unknown. A slow table takes 240 ms.
constexpr Millis kReadTime{400};
// A transaction that has just been sent is answered sooner than a read.
constexpr Millis kMinReadAge{100};
constexpr std::size_t kMaxReadsPerTick = 8; // calls to the table share a few connections

} // namespace

bool StoreQueue::admits(Instant deadline, bool comesLast, TableSilence::Stage table,
                        Instant now) const
{
    if (table == TableSilence::Stage::Silent)
        return false;
    const std::size_t ahead = m_unanswered.size() + m_unsent.size()
        + (comesLast ? m_last.size() : 0);
    const auto batchesAhead = static_cast<int>(ahead / kMaxBatchJobs);
    return now + expectedDelay(now) + batchesAhead * m_storeTime.expectedDuration(now) <= deadline;
}

Millis StoreQueue::expectedDelay(Instant now) const
{
    return m_storeTime.estimate(now);
}

void StoreQueue::add(JobId id, std::size_t bytes, std::uint64_t caller, Instant deadline,
                     bool comesLast)
{
    const auto [job, isNew] = m_jobs.try_emplace(id);
    if (isNew) {
        job->second.bytes = bytes;
        job->second.comesLast = comesLast;
        requeue(id);
    }
    job->second.callers.push_back({caller, deadline});
}

void StoreQueue::requeue(JobId id)
{
    const Job &job = m_jobs.at(id);
    std::deque<JobId> &unsent = job.comesLast ? m_last : m_unsent;
    (job.isUnanswered ? m_unanswered : unsent).push_back(id);
}

void StoreQueue::removeFromQueues(JobId id)
{
    for (std::deque<JobId> *queue : {&m_unanswered, &m_unsent, &m_last})
        std::erase(*queue, id);
}

void StoreQueue::complete(JobId id, StoreOutcome outcome, std::uint64_t version)
{
    const auto job = m_jobs.find(id);
    if (job == m_jobs.end())
        return;
    for (const Caller &caller : job->second.callers)
        m_answers.push_back({caller.number, outcome, version});
    m_jobs.erase(job);
}

void StoreQueue::onRowFound(JobId id, std::uint64_t version)
{
    removeFromQueues(id);
    complete(id, StoreOutcome::AlreadyStored, version);
}

void StoreQueue::onWithdrawn(JobId id)
{
    removeFromQueues(id);
    complete(id, StoreOutcome::Withdrawn, 0);
}

void StoreQueue::refuseUnsent()
{
    for (std::deque<JobId> *queue : {&m_unsent, &m_last}) {
        for (const JobId id : std::exchange(*queue, {}))
            complete(id, StoreOutcome::Refused, 0);
    }
}

void StoreQueue::onBatchResult(Result result, std::uint64_t version, const std::set<JobId> &stored,
                               Instant now)
{
    const bool isExecuted = result == Result::Done || result == Result::Conflict;
    m_wasUnanswered = result == Result::Unanswered;
    if (isExecuted) {
        m_storeTime.onCompleted(now);
        m_retryDelay = Millis(0);
    } else {
        if (m_wasUnanswered)
            m_storeTime.onUnanswered();
        else
            m_storeTime.onRefused(now);
        m_retryDelay = std::clamp(2 * m_retryDelay, kMinRetryDelay, kMaxRetryDelay);
    }
    m_nextSend = now + m_retryDelay;
    const std::vector<JobId> batch = std::exchange(m_inFlight, {});
    // In reverse, so that jobs that have to be sent again keep their place at the front.
    for (auto id = batch.rbegin(); id != batch.rend(); ++id) {
        const auto job = m_jobs.find(*id);
        if (job == m_jobs.end() || !job->second.isInFlight)
            continue; // its row was found meanwhile; a later call may have added the job again
        job->second.isInFlight = false;
        if (result == Result::Done) {
            complete(*id, StoreOutcome::Stored, version);
        } else if (stored.contains(*id)) {
            complete(*id, StoreOutcome::AlreadyStored, version);
        } else {
            job->second.isUnanswered = job->second.isUnanswered || m_wasUnanswered;
            std::deque<JobId> &unsent = job->second.comesLast ? m_last : m_unsent;
            (job->second.isUnanswered ? m_unanswered : unsent).push_front(*id);
        }
    }
}

/// Answers the callers whose deadline has passed, and refuses those whose job was not sent and
/// can't be stored in time. A job that isn't in flight is removed with its last caller.
void StoreQueue::expireCallers(TableSilence::Stage table, Instant now)
{
    const Millis duration = m_storeTime.expectedDuration(now);
    std::vector<JobId> abandoned;
    for (auto &[id, job] : m_jobs) {
        const bool mayBeStored = job.mayBeStored();
        const bool isHopeless = !mayBeStored && table == TableSilence::Stage::Silent;
        const Instant latest = mayBeStored ? now : now + duration;
        std::erase_if(job.callers, [&](const Caller &caller) {
            if (!isHopeless && latest < caller.deadline)
                return false;
            m_answers.push_back(
                {caller.number, mayBeStored ? StoreOutcome::Unknown : StoreOutcome::Refused});
            return true;
        });
        if (job.callers.empty() && !job.isInFlight)
            abandoned.push_back(id);
    }
    for (const JobId id : abandoned) {
        removeFromQueues(id);
        m_jobs.erase(id);
    }
}

void StoreQueue::moveToBatch(std::deque<JobId> &queue, std::size_t maxJobs,
                             std::vector<JobId> &batch)
{
    std::size_t bytes = 0;
    for (const JobId id : batch)
        bytes += m_jobs.at(id).bytes;
    while (!queue.empty() && batch.size() < maxJobs && bytes < kMaxBatchBytes) {
        Job &job = m_jobs.at(queue.front());
        job.isInFlight = true;
        bytes += job.bytes;
        batch.push_back(queue.front());
        queue.pop_front();
    }
}

void StoreQueue::fillBatch(std::vector<JobId> &batch, Instant now)
{
    if (!m_inFlight.empty() || now < m_nextSend)
        return;
    moveToBatch(m_unanswered, kMaxBatchJobs, batch);
    // A transaction after one that was not answered may end like it, so it adds as few jobs as
    // possible to those whose outcome is unknown.
    const std::size_t maxJobs = m_wasUnanswered ? std::max<std::size_t>(batch.size(), 1)
                                                : kMaxBatchJobs;
    moveToBatch(m_unsent, maxJobs, batch);
    moveToBatch(m_last, maxJobs, batch);
    if (batch.empty())
        return;
    m_inFlight = batch;
    m_sentAt = now;
    m_storeTime.onSent(now);
}

void StoreQueue::chooseReads(std::vector<JobId> &reads, Instant now)
{
    for (auto &[id, job] : m_jobs) {
        if (reads.size() >= kMaxReadsPerTick)
            return;
        if (job.isRowRead || job.callers.empty() || !job.mayBeStored()
            || (!job.isUnanswered && now - m_sentAt < kMinReadAge))
            continue;
        const auto first = std::min_element(
            job.callers.begin(), job.callers.end(),
            [](const Caller &left, const Caller &right) { return left.deadline < right.deadline; });
        if (first->deadline - now > kReadTime)
            continue;
        job.isRowRead = true;
        reads.push_back(id);
    }
}

StoreQueue::Step StoreQueue::tick(TableSilence::Stage table, Instant now, bool maySend)
{
    // After an unanswered transaction the table may have become slow.
    const Millis expected = m_wasUnanswered
        ? kMaxAnswerTimeout
        : kAnswerTimeoutDurations * m_storeTime.expectedDuration(now);
    Step step{.timeout = std::clamp(expected, kMinAnswerTimeout, kMaxAnswerTimeout)};
    expireCallers(table, now);
    if (maySend && table == TableSilence::Stage::Answering)
        fillBatch(step.batch, now);
    if (table != TableSilence::Stage::Silent)
        chooseReads(step.reads, now);
    step.answers = std::exchange(m_answers, {});
    return step;
}

} // namespace oleanderhall
