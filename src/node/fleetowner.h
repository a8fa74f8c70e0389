#pragma once

#include "fleetview.h"
#include "hostcontroller.h"
#include "nodesettings.h"
#include "tablewatcher.h"

#include "../../platform/adviceclient.h"
#include "../../platform/tableclient.h"
#include "../../platform/workerclient.h"

#include "oleanderhall/ownership/ownership.h"
#include "oleanderhall/scheduling/scheduler.h"

#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace oleanderhall {

class Metrics;

/// Internal: one term of ownership: loads the jobs, feeds the Scheduler with what happens and
/// carries out its orders. It is made at a take-over and stopped when ownership ends.
class FleetOwner : public std::enable_shared_from_this<FleetOwner>
{
public:
    FleetOwner(boost::asio::io_context &io, const NodeSettings &settings,
               platform::TableClient &table, const Ownership &ownership, const FleetView &view,
               Metrics &metrics);
    ~FleetOwner();

    void start();
    void stop();
    /// Takes a change of the configuration or of the waves.
    void viewChanged();
    /// Returns how many jobs of each queue wait; empty until the jobs are loaded.
    std::vector<QueueLoad> loadByQueue() const;
    bool isLoaded() const { return m_isLoaded; }
    /// Returns whether another owner's token was met.
    bool isSuperseded() const { return m_isSuperseded; }

private:
    void fencePartition(int part);
    void writeFencingToken(int part, std::uint64_t knownVersion);
    void readProgress(int part, const std::string &from);
    void applyProgress(const platform::ReadResult &result);
    void watchJobs();
    void applyJobs(const TableWatcher::Update &update);
    void applyWorkerList(const platform::ReadResult &result);
    void readWorkerList();
    void dispatch(std::vector<SchedulerAction> &actions);
    void send(const StartOrder &order);
    void send(const StopOrder &order);
    void send(const PaceOrder &order);
    void send(const LookOrder &order);
    void send(const AdviceOrder &order);
    void send(const RecordOrder &order);
    void onRecordAnswered(int part, const std::vector<JobProgress> &updates,
                          const platform::TransactionResult &result);
    void scheduleStep();
    void step();
    void logDecisions();
    std::string addressOf(WorkerId worker) const;

    boost::asio::io_context &m_io;
    const NodeSettings &m_settings;
    platform::TableClient &m_table;
    const Ownership &m_ownership;
    const FleetView &m_view;
    Metrics &m_metrics;
    TermRecord m_term;
    Scheduler m_scheduler;
    platform::WorkerClient m_workerClient;
    std::unique_ptr<platform::AdviceClient> m_adviceClient;
    std::shared_ptr<HostController> m_hostController;
    std::shared_ptr<TableWatcher> m_jobWatcher;
    std::map<JobId, JobProgress>
        m_inheritedProgress; ///< Read at the take-over, until the jobs are.
    std::vector<std::uint64_t> m_tokenRowVersions; ///< Versions of the owner's rows, by part.
    int m_partitionsToRead = 0;
    int m_recordsInFlight = 0;
    bool m_areRecordsStored = true;
    std::map<JobId, std::uint64_t> m_progressVersions;
    boost::asio::steady_timer m_stepTimer;
    boost::asio::steady_timer m_workerListTimer;
    bool m_isStepScheduled = false;
    bool m_isLoaded = false;
    bool m_areWorkersListed = false;
    bool m_isStopped = false;
    bool m_isSuperseded = false;
};

} // namespace oleanderhall
