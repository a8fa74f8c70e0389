// How an owner learns of jobs and workers.
#include "owner.h"

#include "storednames.h"

#include "../../platform/discovery.h"
#include "../../platform/tablenames.h"
#include "../daemon/log.h"

#include "oleanderhall/core/clock.h"
#include "oleanderhall/jobs/jobcodec.h"

#include <cstdlib>

namespace oleanderhall {

namespace {

constexpr Millis kListEvery{700}; // a draining worker gets no task 2 s after it says so
constexpr Millis kListSoon{100}; // while hosts are on their way into a pool
constexpr Millis kListTime{1500};
constexpr Millis kFenceTime{2500};
constexpr Millis kJobWait{1000};
constexpr Millis kJobSpacing{20}; // jobs that arrive together are read together

} // namespace

/// Puts this owner's token into the part, so that no earlier owner can record there any more.
void Owner::fence(int part)
{
    m_table.read(kFenceTable, partName(part), "", "", kListTime,
                 [weak = weak_from_this(), part](const platform::ReadResult &result) {
                     const auto self = weak.lock();
                     if (!self || self->m_isStopped)
                         return;
                     if (!result.isSuccess) {
                         self->fence(part); // a call takes its time even when it fails
                         return;
                     }
                     std::uint64_t version = 0;
                     for (const platform::TableRow &row : result.rows) {
                         version = row.version;
                         const auto token = std::strtoull(row.value.c_str(), nullptr, 10);
                         self->m_isDeposed = self->m_isDeposed || token > self->m_term.version;
                     }
                     if (!self->m_isDeposed)
                         self->writeFence(part, version);
                 });
}

void Owner::writeFence(int part, std::uint64_t knownVersion)
{
    platform::Transaction transaction{.partition = partName(part)};
    transaction.preconditions.push_back({kFenceTable, kFenceKey, knownVersion});
    transaction.writes.push_back({kFenceTable, kFenceKey, std::to_string(m_term.version)});
    m_table.transact(transaction, kFenceTime,
                     [weak = weak_from_this(), part](const platform::TransactionResult &result) {
                         const auto self = weak.lock();
                         if (!self || self->m_isStopped)
                             return;
                         if (result.outcome != platform::TransactionResult::Outcome::Done) {
                             self->fence(part);
                             return;
                         }
                         self->m_fences[static_cast<std::size_t>(part)] = result.version;
                         self->readProgress(part, "");
                     });
}

void Owner::readProgress(int part, const std::string &from)
{
    m_table.read(kProgressTable, partName(part), from, "", kListTime,
                 [weak = weak_from_this(), part, from](const platform::ReadResult &result) {
                     const auto self = weak.lock();
                     if (!self || self->m_isStopped)
                         return;
                     if (!result.isSuccess) {
                         self->readProgress(part, from);
                         return;
                     }
                     self->takeProgress(result);
                     if (result.hasMore && !result.rows.empty())
                         self->readProgress(part, result.rows.back().key + " ");
                     else if (--self->m_partsToRead == 0)
                         self->followJobs();
                 });
}

void Owner::takeProgress(const platform::ReadResult &result)
{
    for (const platform::TableRow &row : result.rows) {
        const auto key = parseJobKey(row.key);
        if (!key || key->row != JobRow::Progress)
            continue;
        m_progressVersions[key->id] = row.version;
        if (auto decoded = decodeProgress(key->id, row.value))
            m_progress[key->id] = std::move(*decoded);
        else
            logWarning("job_progress_unreadable", {{"job", textOf(key->id)}});
    }
}

void Owner::followJobs()
{
    TableFollower::Source source{.table = kJobTable, .wait = kJobWait, .spacing = kJobSpacing};
    for (int part = 0; part < kJobParts; ++part)
        source.parts.push_back(partName(part));
    m_jobs = std::make_shared<TableFollower>(
        m_io, m_table, std::move(source),
        [weak = weak_from_this()](const TableFollower::Update &update) {
            if (const auto self = weak.lock())
                self->takeJobs(update);
        });
    m_jobs->start();
}

void Owner::takeJobs(const TableFollower::Update &update)
{
    const Instant now = bootNow();
    std::vector<JobId> cancelled;
    const bool isFirst = update.isWhole && !m_isLoaded;
    for (const platform::TableRow &row : update.rows) {
        const auto key = parseJobKey(row.key);
        if (!key || row.isDeleted)
            continue;
        if (key->row == JobRow::Cancel) {
            cancelled.push_back(key->id);
            continue;
        }
        auto spec = decodeJob(key->id, row.value);
        if (!spec) {
            logWarning("job_unreadable", {{"job", textOf(key->id)}});
            continue;
        }
        const Millis age(std::max<std::int64_t>(0, update.clockMs - spec->acceptedMs));
        const auto known = m_progress.find(key->id);
        // Both rows of a job are written together, so its progress row has the same version.
        m_progressVersions.try_emplace(key->id, row.version);
        const JobProgress progress = known == m_progress.end()
            ? JobProgress{.id = key->id, .isReleased = spec->isReleased}
            : known->second;
        m_scheduler.addJob(std::move(*spec), progress, isFirst, now - age);
        m_progress.erase(key->id);
    }
    // Ended jobs have no spec any more; they are kept until their state need not be told.
    for (const auto &[id, record] : m_progress) {
        if (isFinal(record.state))
            m_scheduler.addJob({.id = id, .acceptedMs = record.acceptedMs}, record, true, now);
    }
    m_progress.clear();
    for (const JobId id : cancelled)
        m_scheduler.cancel(id, now);
    m_isLoaded = true;
    wake();
}

void Owner::readWorkers()
{
    m_table.read(platform::kWorkerTable, "", "", "", kListTime,
                 [weak = weak_from_this()](const platform::ReadResult &result) {
                     const auto self = weak.lock();
                     if (!self || self->m_isStopped)
                         return;
                     self->takeWorkers(result);
                     self->m_listTimer.expires_after(
                         self->m_hosts && self->m_hosts->isWaiting() ? kListSoon : kListEvery);
                     self->m_listTimer.async_wait([weak](const boost::system::error_code &failed) {
                         const auto again = weak.lock();
                         if (!failed && again && !again->m_isStopped)
                             again->readWorkers();
                     });
                 });
}

void Owner::takeWorkers(const platform::ReadResult &result)
{
    if (!result.isSuccess)
        return; // the last list stays; a worker that is gone does not answer
    std::vector<WorkerInfo> workers;
    for (const platform::TableRow &row : result.rows) {
        try {
            workers.push_back(platform::decodeWorker(row.key, row.value));
        } catch (const std::exception &error) {
            logWarning("worker_entry_unreadable", {{"key", row.key}, {"reason", error.what()}});
        }
    }
    m_scheduler.setWorkers(workers, bootNow());
    m_areWorkersListed = true;
    wake();
}

} // namespace oleanderhall
