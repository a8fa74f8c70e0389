// FleetOwner's loading: fences the partitions, then reads the jobs; reads the list of workers.
#include "fleetowner.h"

#include "storednames.h"

#include "../../platform/discovery.h"
#include "../../platform/tablenames.h"
#include "../daemon/log.h"

#include "oleanderhall/core/clock.h"
#include "oleanderhall/jobs/jobcodec.h"

#include <cstdlib>

namespace oleanderhall {

namespace {

// A worker must get no new tasks later than 2 s after it has reported that it drains.
constexpr Millis kWorkerListInterval{700};
constexpr Millis kShortWorkerListInterval{100}; // while hosts are moved or maintained
constexpr Millis kReadTimeout{1500};
constexpr Millis kFencingTimeout{2500};
constexpr Millis kJobLongPoll{1000};
constexpr Millis kJobPollSpacing{20}; // one poll returns all jobs that were stored in this period

} // namespace

/// Writes this owner's fencing token into the partition, after which writes of earlier owners fail.
void FleetOwner::fencePartition(int partition)
{
    m_table.read(kFencingTokenTable, jobPartitionName(partition), "", "", kReadTimeout,
                 [weak = weak_from_this(), partition](const platform::ReadResult &result) {
                     const auto self = weak.lock();
                     if (!self || self->m_isStopped)
                         return;
                     // Retried without a delay, as a failed call has usually lasted until its
                     // timeout.
                     if (!result.isSuccess) {
                         self->fencePartition(partition);
                         return;
                     }
                     std::uint64_t version = 0;
                     for (const platform::TableRow &row : result.rows) {
                         version = row.version;
                         const auto token = std::strtoull(row.value.c_str(), nullptr, 10);
                         self->m_isSuperseded = self->m_isSuperseded
                             || token > self->m_term.version;
                     }
                     if (!self->m_isSuperseded)
                         self->writeFencingToken(partition, version);
                 });
}

void FleetOwner::writeFencingToken(int partition, std::uint64_t knownVersion)
{
    platform::Transaction transaction{.partition = jobPartitionName(partition)};
    transaction.preconditions.push_back({kFencingTokenTable, kFencingTokenKey, knownVersion});
    transaction.writes.push_back(
        {kFencingTokenTable, kFencingTokenKey, std::to_string(m_term.version)});
    m_table.transact(
        transaction, kFencingTimeout,
        [weak = weak_from_this(), partition](const platform::TransactionResult &result) {
            const auto self = weak.lock();
            if (!self || self->m_isStopped)
                return;
            if (result.outcome != platform::TransactionResult::Outcome::Done) {
                self->fencePartition(partition);
                return;
            }
            self->m_tokenRowVersions[static_cast<std::size_t>(partition)] = result.version;
            self->readProgress(partition, "");
        });
}

void FleetOwner::readProgress(int partition, const std::string &from)
{
    m_table.read(kProgressTable, jobPartitionName(partition), from, "", kReadTimeout,
                 [weak = weak_from_this(), partition, from](const platform::ReadResult &result) {
                     const auto self = weak.lock();
                     if (!self || self->m_isStopped)
                         return;
                     if (!result.isSuccess) {
                         self->readProgress(partition, from);
                         return;
                     }
                     self->applyProgress(result);
                     if (result.hasMore && !result.rows.empty())
                         self->readProgress(partition, result.rows.back().key + " ");
                     else if (--self->m_partitionsToRead == 0)
                         self->watchJobs();
                 });
}

void FleetOwner::applyProgress(const platform::ReadResult &result)
{
    for (const platform::TableRow &row : result.rows) {
        const auto key = parseJobKey(row.key);
        if (!key || key->row != JobRow::Progress)
            continue;
        m_progressVersions[key->id] = row.version;
        if (auto decoded = decodeProgress(key->id, row.value))
            m_inheritedProgress[key->id] = std::move(*decoded);
        else
            logWarning("job_progress_unreadable", {{"job", textOf(key->id)}});
    }
}

void FleetOwner::watchJobs()
{
    TableWatcher::Source source{
        .table = kJobTable, .longPoll = kJobLongPoll, .spacing = kJobPollSpacing};
    for (int partition = 0; partition < kJobPartitions; ++partition)
        source.partitions.push_back(jobPartitionName(partition));
    m_jobWatcher = std::make_shared<TableWatcher>(
        m_io, m_table, std::move(source),
        [weak = weak_from_this()](const TableWatcher::Update &update) {
            if (const auto self = weak.lock())
                self->applyJobs(update);
        });
    m_jobWatcher->start();
}

void FleetOwner::applyJobs(const TableWatcher::Update &update)
{
    const Instant now = monotonicNow();
    std::vector<JobId> cancelled;
    const bool isFirst = update.isSnapshot && !m_isLoaded;
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
        const auto known = m_inheritedProgress.find(key->id);
        // One transaction writes both rows of a new job, so its progress row has this version.
        m_progressVersions.try_emplace(key->id, row.version);
        const JobProgress progress = known == m_inheritedProgress.end()
            ? JobProgress{.id = key->id, .isReleased = spec->isReleased}
            : known->second;
        m_scheduler.addJob(std::move(*spec), progress, isFirst, now - age);
        m_inheritedProgress.erase(key->id);
    }
    // The spec of an ended job is deleted; its progress row stays until the state has expired.
    for (const auto &[id, record] : m_inheritedProgress) {
        if (isFinal(record.state))
            m_scheduler.addJob({.id = id, .acceptedMs = record.acceptedMs}, record, true, now);
    }
    m_inheritedProgress.clear();
    for (const JobId id : cancelled)
        m_scheduler.cancel(id, now);
    m_isLoaded = true;
    scheduleStep();
}

void FleetOwner::readWorkerList()
{
    m_table.read(platform::kWorkerTable, "", "", "", kReadTimeout,
                 [weak = weak_from_this()](const platform::ReadResult &result) {
                     const auto self = weak.lock();
                     if (!self || self->m_isStopped)
                         return;
                     self->applyWorkerList(result);
                     self->m_workerListTimer.expires_after(
                         self->m_hostController && self->m_hostController->hasPendingChanges()
                             ? kShortWorkerListInterval
                             : kWorkerListInterval);
                     self->m_workerListTimer.async_wait(
                         [weak](const boost::system::error_code &error) {
                             const auto strong = weak.lock();
                             if (!error && strong && !strong->m_isStopped)
                                 strong->readWorkerList();
                         });
                 });
}

void FleetOwner::applyWorkerList(const platform::ReadResult &result)
{
    if (!result.isSuccess)
        return; // the last list stays in use; calls to workers that have left it fail
    std::vector<WorkerInfo> workers;
    for (const platform::TableRow &row : result.rows) {
        try {
            workers.push_back(platform::decodeWorker(row.key, row.value));
        } catch (const std::exception &decodeError) {
            logWarning("worker_entry_unreadable",
                       {{"key", row.key}, {"reason", decodeError.what()}});
        }
    }
    m_scheduler.setWorkers(workers, monotonicNow());
    m_areWorkersListed = true;
    scheduleStep();
}

} // namespace oleanderhall
