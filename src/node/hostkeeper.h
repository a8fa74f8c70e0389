#pragma once

#include "fleetview.h"
#include "nodesettings.h"

#include "../../platform/hostclient.h"
#include "../../platform/tableclient.h"

#include "oleanderhall/maintenance/hostplanner.h"
#include "oleanderhall/maintenance/workerendverifier.h"
#include "oleanderhall/ownership/ownership.h"
#include "oleanderhall/scheduling/scheduler.h"

#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>

namespace oleanderhall {

class Metrics;

/// Internal: carries out the HostPlanner's plans for one owner: reads the list of hosts, sends
/// moves and maintenance, publishes the state of waves.
class HostKeeper : public std::enable_shared_from_this<HostKeeper>
{
public:
    HostKeeper(boost::asio::io_context &io, const NodeSettings &settings,
               platform::TableClient &table, const Ownership &ownership, const FleetView &view,
               Scheduler &scheduler, Metrics &metrics);

    void start();
    void stop();
    /// Plans and orders; cheap when called often.
    void step(Instant now);
    bool isWaiting() const;

private:
    void readList();
    void readIntents();
    void takeIntents(const platform::ReadResult &result);
    void announce(const std::vector<HostCommand> &orders, Instant now);
    void takeList(const std::vector<HostInfo> &hosts, Instant asked);
    void send(const HostCommand &order, WorkerId worker);
    void answered(const HostCommand &order, WorkerId worker, HostCommandResult result);
    void noteState(const HostInfo &host);
    WorkerUsage useOf(WorkerId worker) const;
    void recordMaintained(Instant now);
    void publish();

    const NodeSettings &m_settings;
    platform::TableClient &m_table;
    const Ownership &m_ownership;
    const FleetView &m_view;
    Scheduler &m_scheduler;
    platform::HostClient m_client;
    HostPlanner m_planner;
    WorkerEndVerifier m_lives;
    std::map<HostId, WorkerId> m_workers; ///< By host, as last listed.
    std::map<HostId, HostInfo::State> m_states;
    boost::asio::steady_timer m_listTimer;
    Instant m_planDue{};
    Instant m_recordDue{};
    std::map<std::int64_t, std::size_t> m_recorded; ///< How many maintained hosts are recorded.
    std::map<std::int64_t, bool> m_unpublished; ///< States of waves that are to be written.
    std::map<HostId, std::int64_t> m_intents; ///< When hosts were ordered, on the table's clock.
    bool m_areIntentsRead = false;
    bool m_isPublishing = false;
    bool m_isRecording = false;
    bool m_isStopped = false;
};

} // namespace oleanderhall
