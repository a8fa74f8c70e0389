#pragma once

#include "fleetview.h"
#include "nodesettings.h"

#include "../../platform/hostclient.h"
#include "../../platform/tableclient.h"

#include "oleanderhall/maintenance/hostplanner.h"
#include "oleanderhall/maintenance/orderedlives.h"
#include "oleanderhall/ownership/ownership.h"
#include "oleanderhall/scheduling/scheduler.h"

#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>

namespace oleanderhall {

class Metrics;

/// Internal: carries out the HostPlanner's plans for one owner: reads the list of hosts, sends
/// moves and maintenance, publishes the state of waves.
class HostController : public std::enable_shared_from_this<HostController>
{
public:
    HostController(boost::asio::io_context &io, const NodeSettings &settings,
                   platform::TableClient &table, const Ownership &ownership, const FleetView &view,
                   Scheduler &scheduler, Metrics &metrics);

    void start();
    void stop();
    /// Plans and orders; cheap when called often.
    void step(Instant now);
    bool hasPendingChanges() const;

private:
    void readHostList();
    void readRecordedOrders();
    void applyRecordedOrders(const platform::ReadResult &result);
    void recordAndSend(const std::vector<HostOrder> &orders, Instant now);
    void applyHostList(const std::vector<HostInfo> &hosts, Instant asked);
    void send(const HostOrder &order, WorkerId worker);
    void onOrderAnswered(const HostOrder &order, WorkerId worker, HostOrderResult result);
    void updateState(const HostInfo &host);
    WorkerUse workerUse(WorkerId worker) const;
    void recordMaintainedHosts(Instant now);
    void publishWaveState();

    const NodeSettings &m_settings;
    platform::TableClient &m_table;
    const Ownership &m_ownership;
    const FleetView &m_view;
    Scheduler &m_scheduler;
    platform::HostClient m_client;
    HostPlanner m_planner;
    OrderedLives m_lives;
    std::map<HostId, WorkerId> m_workerOfHost; ///< By host, as last listed.
    std::map<HostId, HostInfo::State> m_hostStates;
    boost::asio::steady_timer m_listTimer;
    Instant m_nextPlan{};
    Instant m_nextRecord{};
    std::map<std::int64_t, std::size_t>
        m_recordedHostCounts; ///< How many maintained hosts are recorded.
    std::map<std::int64_t, bool>
        m_unpublishedWaveStates; ///< States of waves that are to be written.
    std::map<HostId, std::int64_t> m_orderTimes; ///< When hosts were ordered, on the table's clock.
    bool m_areRecordedOrdersRead = false;
    bool m_isPublishing = false;
    bool m_isRecording = false;
    bool m_isStopped = false;
};

} // namespace oleanderhall
