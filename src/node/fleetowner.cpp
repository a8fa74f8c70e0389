#include "fleetowner.h"

#include "callpermission.h"
#include "storednames.h"

#include "../daemon/log.h"
#include "../daemon/metrics.h"

#include "oleanderhall/core/clock.h"
#include "oleanderhall/jobs/jobcodec.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <cstdlib>

namespace oleanderhall {

namespace {

// A slow table needs several hundred milliseconds for each transaction.
constexpr Millis kProgressWriteTimeout{2500};
constexpr Millis kStepDelay{5}; // one scheduling step handles all events of this period
// Each job takes up to three of the 100 entries that the platform allows in a transaction, and the
// row of the fencing token takes one.
constexpr std::size_t kMaxJobsPerTransaction = 30;

SchedulerSettings schedulerSettings(const NodeSettings &settings)
{
    SchedulerSettings result;
    result.stopTimeout = settings.taskStopTimeout;
    result.statusLifetime = settings.statusLifetime;
    result.teamRateWindow = settings.teamRateWindow;
    return result;
}

} // namespace

FleetOwner::FleetOwner(boost::asio::io_context &io, const NodeSettings &settings,
                       platform::TableClient &table, const Ownership &ownership,
                       const FleetView &view, Metrics &metrics)
    : m_io(io)
    , m_settings(settings)
    , m_table(table)
    , m_ownership(ownership)
    , m_view(view)
    , m_metrics(metrics)
    , m_term(ownership.term())
    , m_scheduler(schedulerSettings(settings), m_term.generation - 1, monotonicNow())
    , m_startGate(settings.cancelTimeout)
    , m_workerClient(io, metrics, m_term.version)
    , m_teamReport(metrics)
    , m_load(metrics)
    , m_stepTimer(io)
    , m_teamRates(settings.teamRateWindow)
{
    if (!settings.adviceAddress.empty())
        m_adviceClient = std::make_unique<platform::AdviceClient>(io, settings.adviceAddress,
                                                                  metrics);
}

FleetOwner::~FleetOwner() = default;

void FleetOwner::start()
{
    logInfo("ownership_taken",
            {{"token", std::to_string(m_term.version)},
             {"generation", std::to_string(m_term.generation)}});
    permitCalls();
    viewChanged();
    m_tokenRowVersions.resize(kJobPartitions);
    m_partitionsToRead = kJobPartitions;
    for (int partition = 0; partition < kJobPartitions; ++partition)
        fencePartition(partition);
    watchWorkers();
    if (!m_settings.hostServiceAddress.empty()) {
        m_hostController = std::make_shared<HostController>(m_io, m_settings, m_table, m_ownership,
                                                            m_view, m_scheduler, m_metrics);
        m_hostController->start();
    }
}

void FleetOwner::stop()
{
    if (m_isStopped)
        return;
    m_isStopped = true;
    logInfo("ownership_ended", {{"token", std::to_string(m_term.version)}});
    if (m_jobWatcher)
        m_jobWatcher->stop();
    if (m_workerWatcher)
        m_workerWatcher->stop();
    if (m_hostController)
        m_hostController->stop();
    m_stepTimer.cancel();
}

void FleetOwner::viewChanged()
{
    if (m_view.config) {
        m_scheduler.setQueues(m_view.config->version, m_view.config->queues);
        m_scheduler.setTeams(m_view.config->version, m_view.config->teams, monotonicNow());
    }
    scheduleStep();
}

std::vector<QueueLoad> FleetOwner::queueLoads(Instant now) const
{
    return m_isLoaded ? m_scheduler.queueLoads(now) : std::vector<QueueLoad>();
}

LoadReport FleetOwner::loadReport(Instant now) const
{
    LoadReport report{.writtenMs = m_view.tableTime(now)};
    for (const auto &[pool, wait] : m_scheduler.poolWaits(now))
        report.poolWaits[pool.name()] = wait;
    if (m_view.config)
        report.teamRates = reportedTeamRates(m_teamRates, m_view.config->teams, now);
    return report;
}

std::vector<TeamLoad> FleetOwner::teamLoads() const
{
    return m_isLoaded ? m_scheduler.teamLoads(monotonicNow()) : std::vector<TeamLoad>();
}

std::string FleetOwner::addressOf(WorkerId worker) const
{
    const auto found = m_scheduler.workers().find(worker);
    return found == m_scheduler.workers().end() ? std::string() : found->second.info.address;
}

void FleetOwner::scheduleStep()
{
    if (m_isStepScheduled || m_isStopped)
        return;
    m_isStepScheduled = true;
    m_stepTimer.expires_after(kStepDelay);
    m_stepTimer.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
        const auto self = weak.lock();
        if (error || !self || self->m_isStopped)
            return;
        self->step();
    });
}

void FleetOwner::step()
{
    m_isStepScheduled = false;
    const Instant now = monotonicNow();
    if (m_isLoaded && m_areWorkersListed && m_ownership.mayExtendLeases(now)) {
        if (m_hostController && m_ownership.maySendCommands(now))
            m_hostController->step(now);
        const Instant planned = monotonicNow();
        m_scheduler.setStartGate(m_startGate);
        logHeldStarts(now);
        std::vector<SchedulerAction> actions = m_scheduler.tick(now, wallClockMs(),
                                                                m_ownership.maySendCommands(now));
        const Instant decided = monotonicNow();
        dispatch(actions);
        logDecisions();
        m_load.add({.planning = planned - now,
                    .deciding = decided - planned,
                    .sending = monotonicNow() - decided});
        if (m_load.isDue(now))
            reportLoad(now);
        if (m_teamReport.isDue(now) && m_view.config && !m_view.config->teams.empty())
            m_teamReport.report(m_scheduler.teamLoads(now), now);
    }
    if (m_isStepScheduled)
        return;
    const Instant next = m_scheduler.nextTick(now);
    m_stepTimer.expires_after(std::max<Instant::duration>(next - now, kStepDelay));
    m_stepTimer.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
        const auto self = weak.lock();
        if (!error && self && !self->m_isStopped)
            self->step();
    });
}

void FleetOwner::reportLoad(Instant now)
{
    m_load.report(m_scheduler.queueLoads(now), Millis(m_view.tableTime(now) - m_jobsReadClockMs),
                  now);
}

void FleetOwner::logHeldStarts(Instant now)
{
    if (m_areStartsHeld != m_startGate.mayStart(now))
        return;
    m_areStartsHeld = !m_areStartsHeld;
    if (m_areStartsHeld)
        logWarning("starts_held", {{"reason", "the cancellations were read too long ago"}});
    else
        logInfo("starts_resumed");
}

void FleetOwner::logDecisions()
{
    for (const Decision &decision : m_scheduler.takeDecisions()) {
        m_metrics.count(std::string("decisions_") + decision.event + "_total");
        if (decision.elapsed)
            m_metrics.observe(std::string(decision.event) + "_seconds", *decision.elapsed);
        logEvent(decision.event, decision.isWarning, decision.fields);
    }
}

/// Has the lease, and for starts the age of the facts, checked when a call to a worker is written:
/// it may have been queued, or this process paused, since the call was decided.
void FleetOwner::permitCalls()
{
    m_workerClient.setPermission([weak = weak_from_this()](platform::WorkerClient::CallKind kind) {
        const auto self = weak.lock();
        return self && !self->m_isStopped && self->isPermitted(kind);
    });
}

bool FleetOwner::isPermitted(platform::WorkerClient::CallKind kind) const
{
    const CallPermission permission = callPermission(kind, m_ownership, m_startGate,
                                                     monotonicNow());
    if (permission == CallPermission::LeaseExpired)
        m_metrics.count("calls_withheld_lease_total");
    if (permission == CallPermission::FactsTooOld)
        m_metrics.count("starts_withheld_old_facts_total");
    return permission == CallPermission::Granted;
}

/// Sends starts last, so that an owner that falls behind first does the work that upholds
/// guarantees.
void FleetOwner::dispatch(std::vector<SchedulerAction> &actions)
{
    std::stable_partition(actions.begin(), actions.end(), [](const SchedulerAction &action) {
        return !std::holds_alternative<StartCommand>(action);
    });
    for (const SchedulerAction &action : actions)
        std::visit([this](const auto &request) { send(request); }, action);
}

void FleetOwner::send(const StartCommand &command)
{
    m_workerClient.start(
        addressOf(command.worker), command, [weak = weak_from_this(), command](CallResult result) {
            const auto self = weak.lock();
            if (!self || self->m_isStopped)
                return;
            self->m_isSuperseded = self->m_isSuperseded || result == CallResult::Fenced;
            self->m_scheduler.onStartResult(command, result, monotonicNow());
            self->scheduleStep();
        });
}

void FleetOwner::send(const StopCommand &command)
{
    m_workerClient.stop(
        addressOf(command.worker), command, [weak = weak_from_this(), command](CallResult result) {
            const auto self = weak.lock();
            if (!self || self->m_isStopped)
                return;
            self->m_isSuperseded = self->m_isSuperseded || result == CallResult::Fenced;
            self->m_scheduler.onStopResult(command, result, monotonicNow());
            self->scheduleStep();
        });
}

void FleetOwner::send(const CpuLimitCommand &command)
{
    m_workerClient.setCpuLimit(
        addressOf(command.worker), command, [weak = weak_from_this(), command](CallResult result) {
            const auto self = weak.lock();
            if (!self || self->m_isStopped)
                return;
            self->m_isSuperseded = self->m_isSuperseded || result == CallResult::Fenced;
            self->m_scheduler.onCpuLimitResult(command, result, monotonicNow());
            self->scheduleStep();
        });
}

void FleetOwner::send(const PollRequest &request)
{
    m_workerClient.poll(
        addressOf(request.worker), request,
        [weak = weak_from_this(), request](CallResult result, const WorkerStatus &status,
                                           Instant sentAt) {
            const auto self = weak.lock();
            if (!self || self->m_isStopped)
                return;
            self->m_isSuperseded = self->m_isSuperseded || result == CallResult::Fenced;
            self->m_scheduler.onPollResult(request, result, status, sentAt, monotonicNow());
            self->scheduleStep();
        });
}

void FleetOwner::send(const AdviceRequest &request)
{
    if (!m_adviceClient)
        return;
    m_adviceClient->requestAdvice(
        request,
        [weak = weak_from_this(),
         request](const std::optional<platform::AdviceClient::Tickets> &tickets) {
            const auto self = weak.lock();
            if (!self || self->m_isStopped)
                return;
            self->m_scheduler.onAdviceResult(request, tickets.has_value(),
                                             tickets.value_or(platform::AdviceClient::Tickets{}),
                                             monotonicNow());
            self->scheduleStep();
        });
}

void FleetOwner::send(const ProgressWrite &write)
{
    struct Batch
    {
        int partition = 0;
        std::size_t jobs = 0;
        platform::Transaction transaction;
        std::vector<JobProgress> updates;
    };
    std::vector<Batch> batches;
    std::vector<std::optional<std::size_t>> open(kJobPartitions); // the last batch of each
    const auto batchOf = [&](JobId id) -> Batch & {
        const int partition = jobPartition(id);
        std::optional<std::size_t> &index = open[static_cast<std::size_t>(partition)];
        if (!index || batches[*index].jobs == kMaxJobsPerTransaction) {
            index = batches.size();
            Batch &batch = batches.emplace_back(Batch{.partition = partition});
            batch.transaction.partition = jobPartitionName(partition);
            batch.transaction.preconditions.push_back(
                {kFencingTokenTable, kFencingTokenKey,
                 m_tokenRowVersions[static_cast<std::size_t>(partition)]});
        }
        ++batches[*index].jobs;
        return batches[*index];
    };
    for (const JobProgress &update : write.updates) {
        Batch &batch = batchOf(update.id);
        const std::string key = jobKey(update.id, JobRow::Progress);
        // The expected version prevents a delayed write from overwriting a newer one.
        batch.transaction.preconditions.push_back(
            {kProgressTable, key, m_progressVersions[update.id]});
        batch.transaction.writes.push_back({kProgressTable, key, encodeProgress(update)});
        if (isFinal(update.state))
            batch.transaction.deletes.push_back({kJobTable, jobKey(update.id, JobRow::Spec), {}});
        batch.updates.push_back(update);
    }
    for (const JobId id : write.droppedJobs) {
        auto &deletedRows = batchOf(id).transaction.deletes;
        deletedRows.push_back({kJobTable, jobKey(id, JobRow::Cancel), {}});
        deletedRows.push_back({kProgressTable, jobKey(id, JobRow::Cancel), {}});
        deletedRows.push_back({kProgressTable, jobKey(id, JobRow::Progress), {}});
    }
    m_writesInFlight = static_cast<int>(batches.size());
    m_haveWritesSucceeded = true;
    for (Batch &batch : batches) {
        m_table.transact(batch.transaction, kProgressWriteTimeout,
                         [weak = weak_from_this(), partition = batch.partition,
                          updates = std::move(batch.updates),
                          batchNumber = write.batch](const platform::TransactionResult &result) {
                             const auto self = weak.lock();
                             if (!self || self->m_isStopped)
                                 return;
                             self->onBatchWritten(partition, updates, result);
                             if (--self->m_writesInFlight > 0)
                                 return;
                             self->m_scheduler.onProgressWritten(
                                 batchNumber, self->m_haveWritesSucceeded, monotonicNow());
                             self->scheduleStep();
                         });
    }
}

void FleetOwner::onBatchWritten(int partition, const std::vector<JobProgress> &updates,
                                const platform::TransactionResult &result)
{
    using Outcome = platform::TransactionResult::Outcome;
    if (result.outcome == Outcome::Done) {
        for (const JobProgress &update : updates)
            m_progressVersions[update.id] = result.version;
        return;
    }
    m_haveWritesSucceeded = false;
    if (result.outcome == Outcome::Conflict) {
        bool isTokenUnchanged = false;
        for (const platform::TableRow &row : result.rows) {
            if (row.table == kFencingTokenTable)
                isTokenUnchanged = row.version
                    == m_tokenRowVersions[static_cast<std::size_t>(partition)];
            if (const auto key = parseJobKey(row.key); key && key->row == JobRow::Progress)
                m_progressVersions[key->id] = row.version;
        }
        m_isSuperseded = m_isSuperseded || !isTokenUnchanged;
    }
    m_metrics.count("record_retries_total");
    logWarning("record_not_confirmed",
               {{"part", std::to_string(partition)},
                {"jobs", std::to_string(updates.size())},
                {"conflict", result.outcome == Outcome::Conflict ? "true" : "false"}});
}

} // namespace oleanderhall
