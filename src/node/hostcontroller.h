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

/// Internal: executes the HostPlanner's plans during one term of ownership. Reads the list of
/// hosts, sends move and maintenance commands and publishes the state of maintenance waves.
class HostController : public std::enable_shared_from_this<HostController>
{
public:
    HostController(boost::asio::io_context &io, const NodeSettings &settings,
                   platform::TableClient &table, const Ownership &ownership, const FleetView &view,
                   Scheduler &scheduler, Metrics &metrics);

    /// Begins to read the list of hosts and the commands that earlier owners have recorded.
    void start();
    /// Sends no more commands; answers that arrive later are ignored.
    void stop();
    /// Plans and sends commands. Does nothing until the recorded commands have been read, nor
    /// shortly after the last plan.
    void step(Instant now);
    /// Returns whether a host is being moved or maintained.
    bool hasPendingChanges() const;

private:
    void readHostList();
    void readRecordedCommands();
    void applyRecordedCommands(const platform::ReadResult &result);
    void recordAndSend(const std::vector<HostCommand> &commands, Instant now);
    void applyHostList(const std::vector<HostInfo> &hosts, Instant requestedAt);
    void send(const HostCommand &command, WorkerId worker);
    void onCommandAnswered(const HostCommand &command, WorkerId worker, HostCommandResult result);
    void updateState(const HostInfo &host);
    WorkerUsage workerUsage(WorkerId worker) const;
    void distrustEarlierCommands(Instant now);
    void recordHandledHosts(Instant now);
    void publishWaveState();

    const NodeSettings &m_settings;
    platform::TableClient &m_table;
    const Ownership &m_ownership;
    const FleetView &m_view;
    Scheduler &m_scheduler;
    platform::HostClient m_client;
    HostPlanner m_planner;
    WorkerEndVerifier m_endVerifier;
    std::map<HostId, WorkerId> m_workerOfHost; ///< From the latest list of hosts.
    std::map<HostId, HostInfo::State> m_hostStates;
    boost::asio::steady_timer m_listTimer;
    Instant m_nextPlan{};
    Instant m_nextHandledHostsRecord{};
    /// Number of handled hosts that are recorded, by wave.
    std::map<std::int64_t, std::size_t> m_recordedHostCounts;
    std::map<std::int64_t, bool> m_unpublishedWaveStates; ///< By wave, whether it is completed.
    /// Time of the latest command to each host, in milliseconds on the table's clock.
    std::map<HostId, std::int64_t> m_commandTimes;
    /// Until when commands of earlier owners may still be carried out.
    std::map<HostId, Instant> m_earlierCommands;
    bool m_areRecordedCommandsRead = false;
    bool m_isPublishing = false;
    bool m_isRecordingHandledHosts = false;
    bool m_isStopped = false;
};

} // namespace oleanderhall
