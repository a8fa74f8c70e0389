#include "hostcontroller.h"

#include "storednames.h"

#include "../../platform/tablenames.h"
#include "../../platform/wavemessages.h"
#include "../daemon/log.h"
#include "../daemon/metrics.h"

#include "oleanderhall/core/clock.h"

#include <cpprest/json.h>

namespace oleanderhall {

namespace {

constexpr Millis kHostListInterval{1500};
constexpr Millis kShortHostListInterval{300}; // while hosts are moved or maintained
// Added per host: reading the list takes time in proportion to its length.
constexpr std::chrono::microseconds kListIntervalPerHost{800};
constexpr Millis kPlanInterval{100};
constexpr Millis kHandledHostsRecordInterval{300};
constexpr Millis kTableTimeout{1500};
constexpr Millis kCommandRecordTimeout{700}; // commands not recorded in time are planned again
constexpr Millis kCommandPauseMargin{200};
constexpr const char *kHostCommandsKey = "host-orders";

const char *nameOf(HostCommandResult result)
{
    switch (result) {
    case HostCommandResult::Done:
        return "done";
    case HostCommandResult::Busy:
        return "busy";
    case HostCommandResult::NotOfWave:
        return "not_of_wave";
    case HostCommandResult::Fenced:
        return "fenced";
    case HostCommandResult::Invalid:
        return "invalid";
    case HostCommandResult::Refused:
        return "refused";
    case HostCommandResult::Unknown:
        return "outcome_unknown";
    }
    return "unnamed";
}

const char *nameOf(HostInfo::State state)
{
    switch (state) {
    case HostInfo::State::Ready:
        return "ready";
    case HostInfo::State::Moving:
        return "moving";
    case HostInfo::State::Maintenance:
        return "maintenance";
    case HostInfo::State::Down:
        return "down";
    }
    return "unnamed";
}

HostPlannerSettings plannerSettings(const NodeSettings &settings)
{
    HostPlannerSettings result;
    result.moveTime = settings.moveTime;
    result.maintenanceTime = settings.maintenanceTime;
    return result;
}

} // namespace

HostController::HostController(boost::asio::io_context &io, const NodeSettings &settings,
                               platform::TableClient &table, const Ownership &ownership,
                               const FleetView &view, Scheduler &scheduler, Metrics &metrics)
    : m_settings(settings)
    , m_table(table)
    , m_ownership(ownership)
    , m_view(view)
    , m_scheduler(scheduler)
    , m_client(io, settings.hostServiceAddress, settings.id.name(), metrics)
    , m_planner(plannerSettings(settings))
    , m_listTimer(io)
{}

void HostController::start()
{
    m_client.setPermission([weak = weak_from_this()] {
        const auto self = weak.lock();
        return self && !self->m_isStopped && self->m_ownership.maySendCommands(monotonicNow());
    });
    readHostList();
    readRecordedCommands();
}

void HostController::readRecordedCommands()
{
    m_table.read(kControlTable, kControlPartition, kHostCommandsKey,
                 std::string(kHostCommandsKey) + " ", kTableTimeout,
                 [weak = weak_from_this()](const platform::ReadResult &result) {
                     const auto self = weak.lock();
                     if (!self || self->m_isStopped)
                         return;
                     // Retried without a delay, as a failed call has usually lasted until its
                     // timeout.
                     if (!result.isSuccess)
                         self->readRecordedCommands();
                     else
                         self->applyRecordedCommands(result);
                 });
}

void HostController::applyRecordedCommands(const platform::ReadResult &result)
{
    const Instant now = monotonicNow();
    m_areRecordedCommandsRead = true;
    for (const platform::TableRow &row : result.rows) {
        try {
            const web::json::value commandTimes = web::json::value::parse(row.value);
            for (const auto &[host, time] : commandTimes.as_object()) {
                const std::int64_t sentAt = time.as_number().to_int64();
                const Instant settled = now - Millis(result.clockMs - sentAt)
                    + m_settings.hostCommandPause + kCommandPauseMargin;
                m_planner.pause(HostId(host), settled);
                m_earlierCommands[HostId(host)] = settled;
                // The next record must contain it, too, in case of another change of owner.
                m_commandTimes.try_emplace(HostId(host), sentAt);
            }
        } catch (const web::json::json_exception &parseError) {
            logWarning("host_intents_unreadable", {{"reason", parseError.what()}});
        }
    }
}

/// Stores host commands before they are sent, so that the next owner knows to which hosts it must
/// not send commands for a while.
void HostController::recordAndSend(const std::vector<HostCommand> &commands, Instant now)
{
    if (commands.empty())
        return;
    const std::int64_t time = m_view.tableTime(now);
    std::erase_if(m_commandTimes, [&](const auto &entry) {
        return entry.second + 2 * m_settings.hostCommandPause.count() < time;
    });
    std::vector<std::pair<HostCommand, WorkerId>> pending;
    for (const HostCommand &command : commands) {
        const WorkerId worker = m_workerOfHost[command.host];
        m_commandTimes[command.host] = time;
        m_scheduler.setTerminating(worker, true, now);
        pending.emplace_back(command, worker);
    }
    web::json::value record = web::json::value::object();
    for (const auto &[host, when] : m_commandTimes)
        record[host.name()] = web::json::value(when);
    platform::Transaction transaction{.partition = kControlPartition};
    transaction.preconditions.push_back({kControlTable, kTermKey, m_ownership.term().version});
    transaction.writes.push_back({kControlTable, kHostCommandsKey, record.serialize()});
    m_table.transact(
        transaction, kCommandRecordTimeout,
        [weak = weak_from_this(), pending](const platform::TransactionResult &result) {
            const auto self = weak.lock();
            if (!self || self->m_isStopped)
                return;
            const bool maySend = result.outcome == platform::TransactionResult::Outcome::Done
                && self->m_ownership.maySendCommands(monotonicNow());
            for (const auto &[command, worker] : pending) {
                // A peer of the worker's tasks may have become unavailable during the write.
                if (maySend && self->m_scheduler.mayEndRuns(worker, monotonicNow()))
                    self->send(command, worker);
                else
                    self->onCommandAnswered(command, worker, HostCommandResult::Refused);
            }
        });
}

void HostController::stop()
{
    m_isStopped = true;
    m_listTimer.cancel();
}

bool HostController::hasPendingChanges() const
{
    return m_planner.hasPendingChanges(monotonicNow());
}

void HostController::readHostList()
{
    m_client.list([weak = weak_from_this(), requestedAt = monotonicNow()](
                      const std::optional<std::vector<HostInfo>> &hosts) {
        const auto self = weak.lock();
        if (!self || self->m_isStopped)
            return;
        if (hosts)
            self->applyHostList(*hosts, requestedAt);
        else
            logWarning("host_list_not_read");
        const auto shortInterval = kShortHostListInterval
            + self->m_workerOfHost.size() * kListIntervalPerHost;
        // Tasks that wait for unread workers start once a list shows that these have terminated.
        const bool isUrgent = self->hasPendingChanges() || !self->m_scheduler.isSynced();
        self->m_listTimer.expires_after(
            isUrgent ? std::min<Instant::duration>(shortInterval, kHostListInterval)
                     : kHostListInterval);
        self->m_listTimer.async_wait([weak](const boost::system::error_code &error) {
            const auto strong = weak.lock();
            if (!error && strong && !strong->m_isStopped)
                strong->readHostList();
        });
    });
}

void HostController::applyHostList(const std::vector<HostInfo> &hosts, Instant requestedAt)
{
    const Instant now = monotonicNow();
    m_planner.updateHosts(hosts, now, requestedAt);
    for (const WorkerEndVerifier::Verdict &verdict : m_endVerifier.verify(hosts, requestedAt)) {
        if (verdict.hasEnded) {
            m_scheduler.onWorkerTerminated(verdict.worker, requestedAt, now);
            continue;
        }
        logInfo("host_order_was_done_before",
                {{"host", verdict.host.name()}, {"worker", verdict.worker.name()}});
        m_scheduler.setTerminating(verdict.worker, false, now);
    }
    m_scheduler.updateHosts(hosts, requestedAt, now);
    m_workerOfHost.clear();
    for (const HostInfo &host : hosts) {
        m_workerOfHost[host.id] = host.worker;
        updateState(host);
    }
}

void HostController::updateState(const HostInfo &host)
{
    const auto known = m_hostStates.find(host.id);
    if (known != m_hostStates.end() && known->second == host.state)
        return;
    if (known != m_hostStates.end() || host.state != HostInfo::State::Ready)
        logInfo("host_state",
                {{"host", host.id.name()},
                 {"worker", host.worker.name()},
                 {"pool", host.pool.name()},
                 {"state", nameOf(host.state)}});
    m_hostStates[host.id] = host.state;
}

WorkerUsage HostController::workerUsage(WorkerId id) const
{
    const auto found = m_scheduler.workers().find(id);
    if (found == m_scheduler.workers().end())
        return {};
    constexpr double kMilliCoresPerCore = 1000;
    const WorkerState &worker = found->second;
    WorkerUsage usage{.isKnown = worker.isListed && worker.isSynced && !worker.isTerminating,
                      .isEmpty = worker.runs.empty()};
    for (const WorkerRun &run : worker.runs) {
        if (!run.isLongRunning)
            usage.batchCores += std::max(
                1.0, static_cast<double>(run.reservation.milliCores) / kMilliCoresPerCore);
    }
    return usage;
}

/// Lets no run count as ready that a command of an earlier owner may still end.
void HostController::distrustEarlierCommands(Instant now)
{
    std::erase_if(m_earlierCommands, [&](const auto &entry) { return now > entry.second; });
    for (const auto &[host, settled] : m_earlierCommands) {
        const auto worker = m_workerOfHost.find(host);
        if (worker != m_workerOfHost.end())
            m_scheduler.distrustRuns(worker->second, settled);
    }
}

void HostController::step(Instant now)
{
    if (now < m_nextPlan || !m_areRecordedCommandsRead)
        return;
    m_nextPlan = now + kPlanInterval;
    distrustEarlierCommands(now);
    if (m_view.config)
        m_planner.setPools(m_view.config->pools);
    static const std::set<HostId> none;
    for (const auto &[number, wave] : m_view.waves) {
        const auto known = m_view.handledHosts.find(number);
        m_planner.addWave(wave, m_view.waveSeenAt.at(number),
                          known == m_view.handledHosts.end() ? none : known->second);
    }
    const WorkerLookup lookup{
        .usageOf = [this](WorkerId worker) { return workerUsage(worker); },
        .mayInterrupt = [&](WorkerId worker) { return m_scheduler.mayInterrupt(worker, now); }};
    const HostPlanner::Plan plan = m_planner.plan(m_scheduler.poolDemands(now), lookup, now);
    m_scheduler.cordon(plan.cordoned);
    m_scheduler.setAwaitingMaintenance(plan.awaitingMaintenance);
    m_scheduler.evacuate(plan.evacuated, now);
    m_scheduler.preempt(plan.preempted, now);
    recordAndSend(plan.commands, now);
    for (const auto &[wave, isCompleted] : plan.waveStates)
        m_unpublishedWaveStates[wave] = isCompleted;
    publishWaveState();
    recordHandledHosts(now);
}

void HostController::send(const HostCommand &command, WorkerId worker)
{
    logInfo("host_ordered",
            {{"host", command.host.name()},
             {"worker", worker.name()},
             {"pool", command.targetPool.name()},
             {"wave", std::to_string(command.wave)},
             {"reason", command.reason}});
    const auto done = [weak = weak_from_this(), command, worker](HostCommandResult result) {
        const auto self = weak.lock();
        if (self && !self->m_isStopped)
            self->onCommandAnswered(command, worker, result);
    };
    const std::uint64_t token = m_ownership.term().version;
    if (command.isMove())
        m_client.move(command.host, command.targetPool, token, done);
    else
        m_client.maintain(command.host, command.wave, token, done);
}

void HostController::onCommandAnswered(const HostCommand &command, WorkerId worker,
                                       HostCommandResult result)
{
    const Instant now = monotonicNow();
    logEvent("host_order_answered", result != HostCommandResult::Done,
             {{"host", command.host.name()}, {"result", nameOf(result)}});
    m_planner.onCommandResult(command, result, now);
    // The next list of hosts shows whether this command ended the worker.
    if (result == HostCommandResult::Done || result == HostCommandResult::Unknown)
        m_endVerifier.commandDone(command.host, worker, now);
    else
        m_scheduler.setTerminating(worker, false, now);
    // A command without an answer may still be carried out.
    if (result == HostCommandResult::Unknown)
        m_scheduler.distrustRuns(worker, now + m_settings.hostCommandPause);
}

void HostController::publishWaveState()
{
    if (m_isPublishing || m_unpublishedWaveStates.empty())
        return;
    const auto [wave, isCompleted] = *m_unpublishedWaveStates.begin();
    m_isPublishing = true;
    platform::Transaction transaction;
    transaction.writes.push_back({platform::kStatusTable, platform::waveStatusKey(wave),
                                  platform::encodeWaveStatus(isCompleted)});
    m_table.transact(transaction, kTableTimeout,
                     [weak = weak_from_this(), wave = wave,
                      isCompleted = isCompleted](const platform::TransactionResult &result) {
                         const auto self = weak.lock();
                         if (!self || self->m_isStopped)
                             return;
                         self->m_isPublishing = false;
                         if (result.outcome != platform::TransactionResult::Outcome::Done)
                             return; // retried with the next plan
                         logInfo("wave_state",
                                 {{"wave", std::to_string(wave)},
                                  {"completed", isCompleted ? "true" : "false"}});
                         const auto found = self->m_unpublishedWaveStates.find(wave);
                         if (found != self->m_unpublishedWaveStates.end()
                             && found->second == isCompleted)
                             self->m_unpublishedWaveStates.erase(found);
                     });
}

void HostController::recordHandledHosts(Instant now)
{
    if (m_isRecordingHandledHosts || now < m_nextHandledHostsRecord)
        return;
    m_nextHandledHostsRecord = now + kHandledHostsRecordInterval;
    for (const auto &[number, wave] : m_view.waves) {
        const std::set<HostId> &handled = m_planner.handledHosts(number);
        if (handled.size() <= m_recordedHostCounts[number])
            continue;
        web::json::value list = web::json::value::array();
        std::size_t index = 0;
        for (const HostId host : handled)
            list[index++] = web::json::value(host.name());
        platform::Transaction transaction{.partition = kControlPartition};
        transaction.preconditions.push_back({kControlTable, kTermKey, m_ownership.term().version});
        transaction.writes.push_back({kControlTable,
                                      std::string(kHandledHostsPrefix) + std::to_string(number),
                                      list.serialize()});
        m_isRecordingHandledHosts = true;
        m_table.transact(transaction, kTableTimeout,
                         [weak = weak_from_this(), number = number,
                          count = handled.size()](const platform::TransactionResult &result) {
                             const auto self = weak.lock();
                             if (!self || self->m_isStopped)
                                 return;
                             self->m_isRecordingHandledHosts = false;
                             if (result.outcome == platform::TransactionResult::Outcome::Done)
                                 self->m_recordedHostCounts[number] = count;
                         });
        return;
    }
}

} // namespace oleanderhall
