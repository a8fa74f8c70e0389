#include "jobwriter.h"

#include "storednames.h"

#include "oleanderhall/core/clock.h"
#include "oleanderhall/jobs/jobcodec.h"
#include "oleanderhall/jobs/jobprogress.h"

#include <algorithm>
#include <set>

namespace oleanderhall {

namespace {

constexpr std::size_t kBatchJobs = 30; // three entries each, of the 100 that a call may hold
constexpr std::size_t kBatchBytes = 400UL << 10; // of job texts; a call holds 1 MB in base64
/// A part of the table turns transactions away when more than a second of them waits, and a slow
/// one takes several hundred milliseconds for each.
constexpr Millis kCallTime{2500};
constexpr Millis kRetryDelay{100};
constexpr Millis kLateCheck{50};

} // namespace

JobWriter::JobWriter(boost::asio::io_context &io, platform::TableClient &table, std::string part)
    : m_table(table)
    , m_part(std::move(part))
    , m_retryTimer(io)
    , m_lateTimer(io)
{}

void JobWriter::store(const JobSpec &job, Instant latest, Done done)
{
    const auto known = m_jobs.find(job.id);
    if (known == m_jobs.end() && bootNow() + m_storeTime.expected(bootNow()) > latest) {
        done(StoreOutcome::Refused, 0); // it would only be known later that it was in vain
        return;
    }
    WaitingPtr &waiting = m_jobs[job.id];
    if (!waiting) {
        waiting = std::make_shared<Waiting>();
        waiting->id = job.id;
        waiting->spec = encodeJob(job);
        waiting->progress = encodeProgress(
            {.id = job.id, .acceptedMs = job.acceptedMs, .isReleased = job.isReleased});
        m_queue.push_back(waiting);
    }
    waiting->callers.push_back({latest, std::move(done)});
    send();
    watch();
}

void JobWriter::watch()
{
    if (m_isWatching || m_jobs.empty())
        return;
    m_isWatching = true;
    m_lateTimer.expires_after(kLateCheck);
    m_lateTimer.async_wait([this](const boost::system::error_code &failed) {
        if (failed)
            return;
        m_isWatching = false;
        giveUpLate();
        watch();
    });
}

void JobWriter::finish(const WaitingPtr &waiting, StoreOutcome outcome, std::uint64_t version)
{
    m_jobs.erase(waiting->id);
    for (const Caller &caller : std::exchange(waiting->callers, {}))
        caller.done(outcome, version);
}

/// Answers the callers whose time has run out. A job that was never sent is dropped with them.
void JobWriter::giveUpLate()
{
    const Instant now = bootNow();
    std::vector<std::pair<Done, StoreOutcome>> late;
    for (const auto &[id, waiting] : m_jobs) {
        const bool isQueued = std::find(m_queue.begin(), m_queue.end(), waiting) != m_queue.end();
        const bool mayBeStored = waiting->mayBeStored || !isQueued;
        std::erase_if(waiting->callers, [&](Caller &caller) {
            if (now < caller.latest)
                return false;
            late.emplace_back(std::move(caller.done),
                              mayBeStored ? StoreOutcome::Unknown : StoreOutcome::Refused);
            return true;
        });
    }
    std::erase_if(m_queue, [&](const WaitingPtr &waiting) {
        if (!waiting->callers.empty())
            return false;
        m_jobs.erase(waiting->id);
        return true;
    });
    for (const auto &[done, outcome] : late)
        done(outcome, 0);
}

void JobWriter::send()
{
    if (m_queue.empty() || m_isInFlight || m_isPausing)
        return;
    Batch batch;
    std::size_t bytes = 0;
    while (!m_queue.empty() && batch.size() < kBatchJobs && bytes < kBatchBytes) {
        bytes += m_queue.front()->spec.size();
        batch.push_back(std::move(m_queue.front()));
        m_queue.pop_front();
    }
    platform::Transaction transaction{.partition = m_part};
    for (const WaitingPtr &waiting : batch) {
        const std::string progressKey = jobKey(waiting->id, JobRow::Progress);
        transaction.preconditions.push_back({kProgressTable, progressKey, 0});
        transaction.writes.push_back({kJobTable, jobKey(waiting->id, JobRow::Spec), waiting->spec});
        transaction.writes.push_back({kProgressTable, progressKey, waiting->progress});
    }
    m_isInFlight = true;
    m_storeTime.sent(bootNow());
    m_table.transact(transaction, kCallTime,
                     [this, batch = std::move(batch)](const platform::TransactionResult &result) {
                         answered(batch, result);
                     });
}

void JobWriter::answered(const Batch &batch, const platform::TransactionResult &result)
{
    using Outcome = platform::TransactionResult::Outcome;
    m_isInFlight = false;
    m_storeTime.ended(bootNow());
    std::set<std::string> present;
    if (result.outcome == Outcome::Conflict) {
        for (const platform::TableRow &row : result.rows) {
            if (row.version > 0 && !row.isDeleted)
                present.insert(row.key);
        }
    }
    for (auto waiting = batch.rbegin(); waiting != batch.rend(); ++waiting) {
        if (result.outcome == Outcome::Done) {
            finish(*waiting, StoreOutcome::Stored, result.version);
        } else if (present.contains(jobKey((*waiting)->id, JobRow::Progress))) {
            finish(*waiting, StoreOutcome::AlreadyStored, result.version);
        } else {
            (*waiting)->mayBeStored = (*waiting)->mayBeStored || result.outcome == Outcome::Unknown;
            m_queue.push_front(*waiting);
        }
    }
    giveUpLate();
    if (result.outcome == Outcome::Refused || result.outcome == Outcome::Unknown) {
        m_isPausing = true;
        m_retryTimer.expires_after(kRetryDelay);
        m_retryTimer.async_wait([this](const boost::system::error_code &failed) {
            if (failed)
                return;
            m_isPausing = false;
            send();
        });
        return;
    }
    send();
}

} // namespace oleanderhall
