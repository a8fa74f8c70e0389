#include "owner.h"

#include "storednames.h"

#include "../../platform/discovery.h"
#include "../daemon/log.h"
#include "../daemon/metrics.h"

#include "oleanderhall/core/clock.h"
#include "oleanderhall/jobs/jobcodec.h"

#include <boost/asio/post.hpp>

#include <cstdlib>

namespace oleanderhall {

namespace {

constexpr Millis kRecordTime{2500}; // a slow table takes several hundred milliseconds for each
constexpr Millis kStepDelay{2}; // events that arrive together are decided together

SchedulerSettings schedulerSettings(const NodeSettings &settings)
{
    SchedulerSettings result;
    result.stopTimeout = settings.stopTime;
    result.statusLifetime = settings.statusLifetime;
    return result;
}

} // namespace

Owner::Owner(boost::asio::io_context &io, const NodeSettings &settings,
             platform::TableClient &table, const Ownership &ownership, const FleetView &view,
             Metrics &metrics)
    : m_io(io)
    , m_settings(settings)
    , m_table(table)
    , m_ownership(ownership)
    , m_view(view)
    , m_metrics(metrics)
    , m_term(ownership.term())
    , m_scheduler(schedulerSettings(settings), m_term.generation - 1, bootNow())
    , m_workers(io, metrics, m_term.version)
    , m_timer(io)
    , m_listTimer(io)
{
    if (!settings.advice.empty())
        m_advice = std::make_unique<platform::AdviceClient>(io, settings.advice, metrics);
}

Owner::~Owner() = default;

void Owner::start()
{
    logInfo("ownership_taken",
            {{"token", std::to_string(m_term.version)},
             {"generation", std::to_string(m_term.generation)}});
    viewChanged();
    m_fences.resize(kJobParts);
    m_partsToRead = kJobParts;
    for (int part = 0; part < kJobParts; ++part)
        fence(part);
    readWorkers();
    if (!m_settings.hosts.empty()) {
        m_hosts = std::make_shared<HostKeeper>(m_io, m_settings, m_table, m_ownership, m_view,
                                               m_scheduler, m_metrics);
        m_hosts->start();
    }
}

void Owner::stop()
{
    if (m_isStopped)
        return;
    m_isStopped = true;
    logInfo("ownership_ended", {{"token", std::to_string(m_term.version)}});
    if (m_jobs)
        m_jobs->stop();
    if (m_hosts)
        m_hosts->stop();
    m_timer.cancel();
    m_listTimer.cancel();
}

void Owner::viewChanged()
{
    if (m_view.config)
        m_scheduler.setQueues(m_view.config->version, m_view.config->queues);
    wake();
}

std::vector<QueueLoad> Owner::loads() const
{
    return m_isLoaded ? m_scheduler.queueLoads() : std::vector<QueueLoad>();
}

std::string Owner::addressOf(WorkerId worker) const
{
    const auto found = m_scheduler.workers().find(worker);
    return found == m_scheduler.workers().end() ? std::string() : found->second.info.address;
}

void Owner::wake()
{
    if (m_isWakePosted || m_isStopped)
        return;
    m_isWakePosted = true;
    m_timer.expires_after(kStepDelay);
    m_timer.async_wait([weak = weak_from_this()](const boost::system::error_code &failed) {
        const auto self = weak.lock();
        if (failed || !self || self->m_isStopped)
            return;
        self->step();
    });
}

void Owner::step()
{
    m_isWakePosted = false;
    const Instant now = bootNow();
    if (m_isLoaded && m_areWorkersListed && m_ownership.mayExtend(now)) {
        if (m_hosts && m_ownership.mayAct(now))
            m_hosts->step(now);
        std::vector<SchedulerAction> actions = m_scheduler.tick(now, wallMs(),
                                                                m_ownership.mayAct(now));
        carryOut(actions);
        logDecisions();
    }
    if (m_isWakePosted)
        return;
    const Instant next = m_scheduler.nextTick(now);
    m_timer.expires_after(std::max<Instant::duration>(next - now, kStepDelay));
    m_timer.async_wait([weak = weak_from_this()](const boost::system::error_code &failed) {
        const auto self = weak.lock();
        if (!failed && self && !self->m_isStopped)
            self->step();
    });
}

void Owner::logDecisions()
{
    for (const Decision &decision : m_scheduler.takeDecisions()) {
        m_metrics.count(std::string("decisions_") + decision.event + "_total");
        if (decision.elapsed)
            m_metrics.observe(std::string(decision.event) + "_seconds", *decision.elapsed);
        logFields(decision.event, decision.isWarning, decision.fields);
    }
}

void Owner::carryOut(std::vector<SchedulerAction> &actions)
{
    for (const SchedulerAction &action : actions)
        std::visit([this](const auto &order) { send(order); }, action);
}

void Owner::send(const StartCommand &order)
{
    m_workers.start(addressOf(order.worker), order,
                    [weak = weak_from_this(), order](CallResult result) {
                        const auto self = weak.lock();
                        if (!self || self->m_isStopped)
                            return;
                        self->m_isDeposed = self->m_isDeposed || result == CallResult::Fenced;
                        self->m_scheduler.onStartResult(order, result, bootNow());
                        self->wake();
                    });
}

void Owner::send(const StopCommand &order)
{
    m_workers.stop(addressOf(order.worker), order,
                   [weak = weak_from_this(), order](CallResult result) {
                       const auto self = weak.lock();
                       if (!self || self->m_isStopped)
                           return;
                       self->m_isDeposed = self->m_isDeposed || result == CallResult::Fenced;
                       self->m_scheduler.onStopResult(order, result, bootNow());
                       self->wake();
                   });
}

void Owner::send(const CpuLimitCommand &order)
{
    m_workers.setCpuLimit(addressOf(order.worker), order,
                          [weak = weak_from_this(), order](CallResult result) {
                              const auto self = weak.lock();
                              if (!self || self->m_isStopped)
                                  return;
                              self->m_scheduler.onCpuLimitResult(order, result, bootNow());
                              self->wake();
                          });
}

void Owner::send(const PollRequest &order)
{
    m_workers.poll(addressOf(order.worker), order,
                   [weak = weak_from_this(), order](CallResult result, const WorkerStatus &look,
                                                    Instant sent) {
                       const auto self = weak.lock();
                       if (!self || self->m_isStopped)
                           return;
                       self->m_isDeposed = self->m_isDeposed || result == CallResult::Fenced;
                       self->m_scheduler.onPollResult(order, result, look, sent, bootNow());
                       self->wake();
                   });
}

void Owner::send(const AdviceRequest &order)
{
    if (!m_advice)
        return;
    m_advice->requestAdvice(order,
                            [weak = weak_from_this(),
                             order](const std::optional<platform::AdviceClient::Tickets> &tickets) {
                                const auto self = weak.lock();
                                if (!self || self->m_isStopped)
                                    return;
                                self->m_scheduler.onAdviceResult(
                                    order, tickets.has_value(),
                                    tickets.value_or(platform::AdviceClient::Tickets{}), bootNow());
                                self->wake();
                            });
}

void Owner::send(const ProgressWrite &order)
{
    struct Batch
    {
        platform::Transaction transaction;
        std::vector<JobProgress> updates;
    };
    std::map<int, Batch> batches;
    const auto batchOf = [&](JobId id) -> Batch & {
        const int part = partNumber(id);
        Batch &batch = batches[part];
        if (batch.transaction.partition.empty()) {
            batch.transaction.partition = partName(part);
            batch.transaction.preconditions.push_back(
                {kFenceTable, kFenceKey, m_fences[static_cast<std::size_t>(part)]});
        }
        return batch;
    };
    for (const JobProgress &update : order.updates) {
        Batch &batch = batchOf(update.id);
        const std::string key = jobKey(update.id, JobRow::Progress);
        // A write that lands late must not undo a newer one.
        batch.transaction.preconditions.push_back(
            {kProgressTable, key, m_progressVersions[update.id]});
        batch.transaction.writes.push_back({kProgressTable, key, encodeProgress(update)});
        if (isFinal(update.state))
            batch.transaction.deletes.push_back({kJobTable, jobKey(update.id, JobRow::Spec), {}});
        batch.updates.push_back(update);
    }
    for (const JobId id : order.dropped) {
        auto &drops = batchOf(id).transaction.deletes;
        drops.push_back({kJobTable, jobKey(id, JobRow::Cancel), {}});
        drops.push_back({kProgressTable, jobKey(id, JobRow::Cancel), {}});
        drops.push_back({kProgressTable, jobKey(id, JobRow::Progress), {}});
    }
    m_recordsInFlight = static_cast<int>(batches.size());
    m_areRecordsDone = true;
    for (auto &[part, batch] : batches) {
        m_table.transact(batch.transaction, kRecordTime,
                         [weak = weak_from_this(), part = part, updates = std::move(batch.updates),
                          number = order.batch](const platform::TransactionResult &result) {
                             const auto self = weak.lock();
                             if (!self || self->m_isStopped)
                                 return;
                             self->recorded(part, updates, result);
                             if (--self->m_recordsInFlight > 0)
                                 return;
                             self->m_scheduler.onProgressWritten(number, self->m_areRecordsDone,
                                                                 bootNow());
                             self->wake();
                         });
    }
}

void Owner::recorded(int part, const std::vector<JobProgress> &updates,
                     const platform::TransactionResult &result)
{
    using Outcome = platform::TransactionResult::Outcome;
    if (result.outcome == Outcome::Done) {
        for (const JobProgress &update : updates)
            m_progressVersions[update.id] = result.version;
        return;
    }
    m_areRecordsDone = false;
    if (result.outcome == Outcome::Conflict) {
        bool isOurs = false;
        for (const platform::TableRow &row : result.rows) {
            if (row.table == kFenceTable)
                isOurs = row.version == m_fences[static_cast<std::size_t>(part)];
            if (const auto key = parseJobKey(row.key); key && key->row == JobRow::Progress)
                m_progressVersions[key->id] = row.version;
        }
        m_isDeposed = m_isDeposed || !isOurs;
    }
    m_metrics.count("record_retries_total");
    logWarning("record_not_confirmed",
               {{"part", std::to_string(part)},
                {"jobs", std::to_string(updates.size())},
                {"conflict", result.outcome == Outcome::Conflict ? "true" : "false"}});
}

} // namespace oleanderhall
