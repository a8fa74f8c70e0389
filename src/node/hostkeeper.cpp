#include "hostkeeper.h"

#include "storednames.h"

#include "../../platform/tablenames.h"
#include "../../platform/wavemessages.h"
#include "../daemon/log.h"
#include "../daemon/metrics.h"

#include "oleanderhall/core/clock.h"

#include <cpprest/json.h>

namespace oleanderhall {

namespace {

constexpr Millis kListEvery{1500};
constexpr Millis kListSoon{300}; // while hosts move or are maintained
constexpr Millis kPlanEvery{60};
constexpr Millis kRecordEvery{300};
constexpr Millis kWriteTime{1500};
constexpr Millis kAnnounceTime{700}; // an order that is later than this is planned anew
constexpr Millis kPauseSlack{200};
constexpr const char *kIntentKey = "host-orders";

const char *nameOf(HostOrderResult result)
{
    switch (result) {
    case HostOrderResult::Done:
        return "done";
    case HostOrderResult::Busy:
        return "busy";
    case HostOrderResult::NotOfWave:
        return "not_of_wave";
    case HostOrderResult::Fenced:
        return "fenced";
    case HostOrderResult::Invalid:
        return "invalid";
    case HostOrderResult::Refused:
        return "refused";
    case HostOrderResult::Unknown:
        return "outcome_unknown";
    }
    return "unnamed";
}

const char *nameOf(HostInfo::State state)
{
    switch (state) {
    case HostInfo::State::Up:
        return "up";
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

HostKeeper::HostKeeper(boost::asio::io_context &io, const NodeSettings &settings,
                       platform::TableClient &table, const Ownership &ownership,
                       const FleetView &view, Scheduler &scheduler, Metrics &metrics)
    : m_settings(settings)
    , m_table(table)
    , m_ownership(ownership)
    , m_view(view)
    , m_scheduler(scheduler)
    , m_client(io, settings.hosts, settings.id.name(), metrics)
    , m_planner(plannerSettings(settings))
    , m_listTimer(io)
{}

void HostKeeper::start()
{
    readList();
    readIntents();
}

void HostKeeper::readIntents()
{
    m_table.read(kControlTable, kOwnPart, kIntentKey, std::string(kIntentKey) + " ", kWriteTime,
                 [weak = weak_from_this()](const platform::ReadResult &result) {
                     const auto self = weak.lock();
                     if (!self || self->m_isStopped)
                         return;
                     if (!result.isSuccess)
                         self->readIntents(); // a call takes its time even when it fails
                     else
                         self->takeIntents(result);
                 });
}

void HostKeeper::takeIntents(const platform::ReadResult &result)
{
    const Instant now = bootNow();
    m_areIntentsRead = true;
    for (const platform::TableRow &row : result.rows) {
        try {
            const web::json::value intents = web::json::value::parse(row.value);
            for (const auto &[host, time] : intents.as_object()) {
                const Millis age(result.clockMs - time.as_number().to_int64());
                m_planner.pause(HostId(host), now - age + m_settings.hostOrderPause + kPauseSlack);
            }
        } catch (const web::json::json_exception &error) {
            logWarning("host_intents_unreadable", {{"reason", error.what()}});
        }
    }
}

/// Orders to hosts are written down before they are sent, so that a next owner knows which hosts
/// to leave alone for a while.
void HostKeeper::announce(const std::vector<HostOrder> &orders, Instant now)
{
    if (orders.empty())
        return;
    const std::int64_t time = m_view.tableTime(now);
    std::erase_if(m_intents, [&](const auto &entry) {
        return entry.second + 2 * m_settings.hostOrderPause.count() < time;
    });
    std::vector<std::pair<HostOrder, WorkerId>> pending;
    for (const HostOrder &order : orders) {
        const WorkerId worker = m_workers[order.host];
        m_intents[order.host] = time;
        m_scheduler.setTerminating(worker, true);
        pending.emplace_back(order, worker);
    }
    web::json::value record = web::json::value::object();
    for (const auto &[host, when] : m_intents)
        record[host.name()] = web::json::value(when);
    platform::Transaction transaction{.partition = kOwnPart};
    transaction.preconditions.push_back({kControlTable, kTermKey, m_ownership.term().version});
    transaction.writes.push_back({kControlTable, kIntentKey, record.serialize()});
    m_table.transact(transaction, kAnnounceTime,
                     [weak = weak_from_this(), pending](const platform::TransactionResult &result) {
                         const auto self = weak.lock();
                         if (!self || self->m_isStopped)
                             return;
                         const bool maySend = result.outcome
                                 == platform::TransactionResult::Outcome::Done
                             && self->m_ownership.mayAct(bootNow());
                         for (const auto &[order, worker] : pending) {
                             if (maySend)
                                 self->send(order, worker);
                             else
                                 self->answered(order, worker, HostOrderResult::Refused);
                         }
                     });
}

void HostKeeper::stop()
{
    m_isStopped = true;
    m_listTimer.cancel();
}

bool HostKeeper::isWaiting() const
{
    return m_planner.isWaiting(bootNow());
}

void HostKeeper::readList()
{
    m_client.list([weak = weak_from_this(),
                   asked = bootNow()](const std::optional<std::vector<HostInfo>> &hosts) {
        const auto self = weak.lock();
        if (!self || self->m_isStopped)
            return;
        if (hosts)
            self->takeList(*hosts, asked);
        else
            logWarning("host_list_not_read");
        self->m_listTimer.expires_after(self->isWaiting() ? kListSoon : kListEvery);
        self->m_listTimer.async_wait([weak](const boost::system::error_code &failed) {
            const auto again = weak.lock();
            if (!failed && again && !again->m_isStopped)
                again->readList();
        });
    });
}

void HostKeeper::takeList(const std::vector<HostInfo> &hosts, Instant asked)
{
    const Instant now = bootNow();
    m_planner.takeHosts(hosts, now);
    for (const OrderedLives::Verdict &verdict : m_lives.judge(hosts, asked)) {
        if (verdict.hasEnded) {
            m_scheduler.onWorkerTerminated(verdict.worker, now);
            continue;
        }
        logInfo("host_order_was_done_before",
                {{"host", verdict.host.name()}, {"worker", verdict.worker.name()}});
        m_scheduler.setTerminating(verdict.worker, false);
    }
    m_workers.clear();
    std::map<ServiceId, std::vector<WorkerId>> expected;
    for (const HostInfo &host : hosts) {
        m_workers[host.id] = host.worker;
        noteState(host);
        std::vector<WorkerId> &workers = expected[host.pool];
        if (!host.worker.empty() && host.state != HostInfo::State::Down)
            workers.push_back(host.worker);
    }
    for (auto &[pool, workers] : expected)
        m_scheduler.setExpectedWorkers(pool, std::move(workers));
}

void HostKeeper::noteState(const HostInfo &host)
{
    const auto known = m_states.find(host.id);
    if (known != m_states.end() && known->second == host.state)
        return;
    if (known != m_states.end() || host.state != HostInfo::State::Up)
        logInfo("host_state",
                {{"host", host.id.name()},
                 {"worker", host.worker.name()},
                 {"pool", host.pool.name()},
                 {"state", nameOf(host.state)}});
    m_states[host.id] = host.state;
}

WorkerUse HostKeeper::useOf(WorkerId id) const
{
    const auto found = m_scheduler.workers().find(id);
    if (found == m_scheduler.workers().end())
        return {};
    constexpr double kMilli = 1000;
    const WorkerState &worker = found->second;
    WorkerUse use{.isKnown = worker.isListed && worker.isSynced && !worker.isTerminating,
                  .isEmpty = worker.runs.empty(),
                  .mayInterrupt = m_scheduler.mayInterrupt(id)};
    for (const WorkerRun &run : worker.runs) {
        if (!run.isLongRunning)
            use.batchCores += std::max(1.0,
                                       static_cast<double>(run.reservation.milliCores) / kMilli);
    }
    return use;
}

void HostKeeper::step(Instant now)
{
    if (now < m_planDue || !m_areIntentsRead)
        return;
    m_planDue = now + kPlanEvery;
    if (m_view.config)
        m_planner.setPools(m_view.config->pools);
    for (const auto &[number, wave] : m_view.waves) {
        const auto known = m_view.maintained.find(number);
        m_planner.addWave(wave, m_view.waveSeen.at(number),
                          known == m_view.maintained.end() ? std::set<HostId>() : known->second);
    }
    const HostPlanner::Plan plan = m_planner.plan(
        m_scheduler.poolDemands(now), [this](WorkerId worker) { return useOf(worker); }, now);
    m_scheduler.cordon(plan.cordoned);
    m_scheduler.setAwaitingMaintenance(plan.dueSoon);
    m_scheduler.evacuate(plan.evacuated, now);
    announce(plan.orders, now);
    for (const auto &[wave, isCompleted] : plan.waveStates)
        m_unpublished[wave] = isCompleted;
    publish();
    recordMaintained(now);
}

void HostKeeper::send(const HostOrder &order, WorkerId worker)
{
    logInfo("host_ordered",
            {{"host", order.host.name()},
             {"worker", worker.name()},
             {"pool", order.pool.name()},
             {"wave", std::to_string(order.wave)},
             {"reason", order.reason}});
    const auto done = [weak = weak_from_this(), order, worker](HostOrderResult result) {
        const auto self = weak.lock();
        if (self && !self->m_isStopped)
            self->answered(order, worker, result);
    };
    const std::uint64_t token = m_ownership.term().version;
    if (order.isMove())
        m_client.move(order.host, order.pool, token, done);
    else
        m_client.maintain(order.host, order.wave, token, done);
}

void HostKeeper::answered(const HostOrder &order, WorkerId worker, HostOrderResult result)
{
    const Instant now = bootNow();
    logFields("host_order_answered", result != HostOrderResult::Done,
              {{"host", order.host.name()}, {"result", nameOf(result)}});
    m_planner.orderAnswered(order, result, now);
    if (result == HostOrderResult::Done)
        m_lives.orderDone(order.host, worker, now); // the next list tells whether it ended just now
    else
        m_scheduler.setTerminating(worker, false);
}

void HostKeeper::publish()
{
    if (m_isPublishing || m_unpublished.empty())
        return;
    const auto [wave, isCompleted] = *m_unpublished.begin();
    m_isPublishing = true;
    platform::Transaction transaction;
    transaction.writes.push_back({platform::kStatusTable, platform::waveStatusKey(wave),
                                  platform::encodeWaveStatus(isCompleted)});
    m_table.transact(transaction, kWriteTime,
                     [weak = weak_from_this(), wave = wave,
                      isCompleted = isCompleted](const platform::TransactionResult &result) {
                         const auto self = weak.lock();
                         if (!self || self->m_isStopped)
                             return;
                         self->m_isPublishing = false;
                         if (result.outcome != platform::TransactionResult::Outcome::Done)
                             return; // written again with the next plan
                         logInfo("wave_state",
                                 {{"wave", std::to_string(wave)},
                                  {"completed", isCompleted ? "true" : "false"}});
                         const auto found = self->m_unpublished.find(wave);
                         if (found != self->m_unpublished.end() && found->second == isCompleted)
                             self->m_unpublished.erase(found);
                     });
}

void HostKeeper::recordMaintained(Instant now)
{
    if (m_isRecording || now < m_recordDue)
        return;
    m_recordDue = now + kRecordEvery;
    for (const auto &[number, wave] : m_view.waves) {
        const std::set<HostId> maintained = m_planner.maintained(number);
        if (maintained.size() <= m_recorded[number])
            continue;
        web::json::value list = web::json::value::array();
        std::size_t index = 0;
        for (const HostId host : maintained)
            list[index++] = web::json::value(host.name());
        platform::Transaction transaction{.partition = kOwnPart};
        transaction.preconditions.push_back({kControlTable, kTermKey, m_ownership.term().version});
        transaction.writes.push_back(
            {kControlTable, std::string(kWavePrefix) + std::to_string(number), list.serialize()});
        m_isRecording = true;
        m_table.transact(transaction, kWriteTime,
                         [weak = weak_from_this(), number = number,
                          count = maintained.size()](const platform::TransactionResult &result) {
                             const auto self = weak.lock();
                             if (!self || self->m_isStopped)
                                 return;
                             self->m_isRecording = false;
                             if (result.outcome == platform::TransactionResult::Outcome::Done)
                                 self->m_recorded[number] = count;
                         });
        return;
    }
}

} // namespace oleanderhall
