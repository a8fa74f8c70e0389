#pragma once

#include "fleetview.h"
#include "hostcontroller.h"
#include "nodesettings.h"
#include "ownerload.h"
#include "tablewatcher.h"
#include "teamreport.h"
#include "workerdirectory.h"

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

/// Internal: the work of the fleet's owner during one term. Loads the jobs and the list of workers,
/// passes events to the Scheduler and executes the actions that it returns. An object is created at
/// a take-over and stopped when the term ends.
class FleetOwner : public std::enable_shared_from_this<FleetOwner>
{
public:
    FleetOwner(boost::asio::io_context &io, const NodeSettings &settings,
               platform::TableClient &table, const Ownership &ownership, const FleetView &view,
               Metrics &metrics);
    ~FleetOwner();

    /// Begins to load the jobs and workers; the Scheduler runs once both are loaded.
    void start();
    /// Ends all work of this term; answers that arrive later are ignored.
    void stop();
    /// Must be called after the configuration or the waves of the FleetView have changed.
    void viewChanged();
    /// Returns the number of waiting jobs of each queue; empty until the jobs are loaded.
    std::vector<QueueLoad> queueLoads(Instant now) const;
    /// Returns what entry hosts need for early refusals.
    LoadReport loadReport(Instant now) const;
    /// Returns what each team uses and waits for; empty until the jobs are loaded.
    std::vector<TeamLoad> teamLoads() const;
    /// Returns the table's steady clock when the jobs were last read; 0 before the first read.
    std::int64_t jobsReadClockMs() const { return m_jobsReadClockMs; }
    bool isLoaded() const { return m_isLoaded; }
    /// Returns whether a fencing token row or a worker's refusal has shown that another process
    /// took over ownership.
    bool isSuperseded() const { return m_isSuperseded; }

private:
    void fencePartition(int partition);
    void writeFencingToken(int partition, std::uint64_t knownVersion);
    void readProgress(int partition, const std::string &from);
    void applyProgress(const platform::ReadResult &result);
    void watchJobs();
    void applyJobs(const TableWatcher::Update &update);
    void watchWorkers();
    void applyWorkers(const TableWatcher::Update &update);
    void permitCalls();
    bool isPermitted(platform::WorkerClient::CallKind kind) const;
    void dispatch(std::vector<SchedulerAction> &actions);
    void send(const StartCommand &command);
    void send(const StopCommand &command);
    void send(const CpuLimitCommand &command);
    void send(const PollRequest &request);
    void send(const AdviceRequest &request);
    void send(const ProgressWrite &write);
    void onBatchWritten(int partition, const std::vector<JobProgress> &updates,
                        const platform::TransactionResult &result);
    void scheduleStep();
    void step();
    void logDecisions();
    void logHeldStarts(Instant now);
    void reportLoad(Instant now);
    std::string addressOf(WorkerId worker) const;

    boost::asio::io_context &m_io;
    const NodeSettings &m_settings;
    platform::TableClient &m_table;
    const Ownership &m_ownership;
    const FleetView &m_view;
    Metrics &m_metrics;
    TermRecord m_term;
    Scheduler m_scheduler;
    StartGate m_startGate;
    platform::WorkerClient m_workerClient;
    std::unique_ptr<platform::AdviceClient> m_adviceClient;
    std::shared_ptr<HostController> m_hostController;
    std::shared_ptr<TableWatcher> m_jobWatcher;
    std::shared_ptr<TableWatcher> m_workerWatcher;
    WorkerDirectory m_workerDirectory;
    TeamReport m_teamReport;
    OwnerLoad m_load;
    /// Progress that was read at the take-over; held until the jobs are loaded.
    std::map<JobId, JobProgress> m_inheritedProgress;
    /// Versions of the fencing token rows, by partition.
    std::vector<std::uint64_t> m_tokenRowVersions;
    int m_partitionsToRead = 0;
    int m_writesInFlight = 0; ///< Transactions of the latest batch of progress.
    bool m_haveWritesSucceeded = true; ///< None of them has failed so far.
    std::map<JobId, std::uint64_t> m_progressVersions; ///< Expected by the next progress write.
    boost::asio::steady_timer m_stepTimer;
    TeamRates m_teamRates; ///< Of accepted jobs.
    std::int64_t m_jobsReadClockMs = 0; ///< The table's steady clock at the last read of the jobs.
    bool m_isStepScheduled = false;
    bool m_isLoaded = false;
    bool m_areWorkersListed = false;
    bool m_isStopped = false;
    bool m_isSuperseded = false;
    bool m_areStartsHeld = false; ///< The cancellations were read too long ago.
};

} // namespace oleanderhall
