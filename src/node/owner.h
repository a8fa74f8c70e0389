#pragma once

#include "fleetview.h"
#include "hostkeeper.h"
#include "nodesettings.h"
#include "tablefollower.h"

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
class Owner : public std::enable_shared_from_this<Owner>
{
public:
    Owner(boost::asio::io_context &io, const NodeSettings &settings, platform::TableClient &table,
          const Ownership &ownership, const FleetView &view, Metrics &metrics);
    ~Owner();

    void start();
    void stop();
    /// Takes a change of the configuration or of the waves.
    void viewChanged();
    /// Returns how many jobs of each queue wait; empty until the jobs are loaded.
    std::vector<QueueLoad> loads() const;
    bool isLoaded() const { return m_isLoaded; }
    /// Returns whether another owner's token was met.
    bool isDeposed() const { return m_isDeposed; }

private:
    void fence(int part);
    void writeFence(int part, std::uint64_t knownVersion);
    void readProgress(int part, const std::string &from);
    void takeProgress(const platform::ReadResult &result);
    void followJobs();
    void takeJobs(const TableFollower::Update &update);
    void takeWorkers(const platform::ReadResult &result);
    void readWorkers();
    void carryOut(std::vector<SchedulerAction> &actions);
    void send(const StartCommand &order);
    void send(const StopCommand &order);
    void send(const CpuLimitCommand &order);
    void send(const PollRequest &order);
    void send(const AdviceRequest &order);
    void send(const ProgressWrite &order);
    void recorded(int part, const std::vector<JobProgress> &updates,
                  const platform::TransactionResult &result);
    void wake();
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
    platform::WorkerClient m_workers;
    std::unique_ptr<platform::AdviceClient> m_advice;
    std::shared_ptr<HostKeeper> m_hosts;
    std::shared_ptr<TableFollower> m_jobs;
    std::map<JobId, JobProgress> m_progress; ///< Read at the take-over, until the jobs are.
    std::vector<std::uint64_t> m_fences; ///< Versions of the owner's rows, by part.
    int m_partsToRead = 0;
    int m_recordsInFlight = 0;
    bool m_areRecordsDone = true;
    std::map<JobId, std::uint64_t> m_progressVersions;
    boost::asio::steady_timer m_timer;
    boost::asio::steady_timer m_listTimer;
    bool m_isWakePosted = false;
    bool m_isLoaded = false;
    bool m_areWorkersListed = false;
    bool m_isStopped = false;
    bool m_isDeposed = false;
};

} // namespace oleanderhall
