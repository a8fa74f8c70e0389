// FleetOwner's loading: fences the partitions, then reads the jobs; reads the list of workers.
#include "fleetowner.h"

#include "storednames.h"

#include "../../platform/tablenames.h"
#include "../daemon/log.h"

#include "oleanderhall/core/clock.h"
#include "oleanderhall/jobs/jobcodec.h"

#include <cstdlib>

namespace oleanderhall {

namespace {

constexpr Millis kWorkerLongPoll{1000};
constexpr Millis kWorkerPollSpacing{100}; // one poll returns the heartbeats of this period
constexpr Millis kReadTimeout{1500};
constexpr Millis kFencingTimeout{2500};
// Starts need a recent read of the cancellations also while nothing changes.
constexpr Millis kJobLongPoll{600};
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
                     // Retried at once: a failed call has usually taken its whole time limit.
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
        if (!spec->team.empty() && !m_scheduler.jobs().contains(key->id))
            m_teamRates.add(spec->team, now - age);
        m_scheduler.addJob(std::move(*spec), progress, isFirst, now - age);
        m_inheritedProgress.erase(key->id);
    }
    // The spec of an ended job is deleted; its progress row stays until the state has expired.
    for (const auto &[id, record] : m_inheritedProgress) {
        if (isFinal(record.state))
            m_scheduler.addJob({.id = id, .team = record.team, .acceptedMs = record.acceptedMs},
                               record, true, now);
    }
    m_inheritedProgress.clear();
    for (const JobId id : cancelled)
        m_scheduler.cancel(id, now);
    m_startGate.onCancellationsRead(update.sentAt);
    m_jobsReadClockMs = update.clockMs;
    m_isLoaded = true;
    scheduleStep();
}

void FleetOwner::watchWorkers()
{
    m_workerWatcher = std::make_shared<TableWatcher>(
        m_io, m_table,
        TableWatcher::Source{.table = platform::kWorkerTable,
                             .partitions = {""},
                             .longPoll = kWorkerLongPoll,
                             .spacing = kWorkerPollSpacing},
        [weak = weak_from_this()](const TableWatcher::Update &update) {
            if (const auto self = weak.lock())
                self->applyWorkers(update);
        });
    m_workerWatcher->start();
}

void FleetOwner::applyWorkers(const TableWatcher::Update &update)
{
    if (!m_workerDirectory.apply(update) && m_areWorkersListed)
        return;
    m_scheduler.setWorkers(m_workerDirectory.workers(), monotonicNow());
    m_areWorkersListed = true;
    // Each move of a host ends a worker, whose connections would stay open.
    m_workerClient.disconnectUnused([this](WorkerId id) {
        const auto worker = m_scheduler.workers().find(id);
        return worker != m_scheduler.workers().end() && !worker->second.hasTerminated;
    });
    scheduleStep();
}

} // namespace oleanderhall
