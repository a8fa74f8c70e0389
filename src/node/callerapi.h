#pragma once

#include "fleetview.h"
#include "jobwriter.h"
#include "teamcalllog.h"

#include "../../platform/tableclient.h"
#include "../http/callerserver.h"

#include "oleanderhall/jobs/taskid.h"
#include "oleanderhall/teams/admissionpolicy.h"

#include <optional>
#include <string>

namespace oleanderhall {

class Metrics;

/// Internal: the callers' HTTP interface: accepts jobs, returns their state and cancels them. It
/// holds no state of jobs: a job is accepted once its rows are stored, and its state is read from
/// them.
class CallerApi
{
public:
    /// `teamRateWindow` is the time over which the rates of teams are measured.
    CallerApi(boost::asio::io_context &io, platform::TableClient &table, const FleetView &view,
              Metrics &metrics, Millis teamRateWindow);

    /// Answers one request; refusals name their reason in the body.
    boost::asio::awaitable<Reply> answer(HttpRequest &request);
    /// Lets jobs of a partition that the table has rejected be refused at once while
    /// `isBetterElsewhere` returns true for the partition; see JobWriter::setHandOff().
    void setHandOff(const std::function<bool(int partition)> &isBetterElsewhere);
    /// Returns whether the table has stopped answering this node's calls.
    bool isTableSilent(Instant now) { return m_probe.stage(now) == TableSilence::Stage::Silent; }

private:
    boost::asio::awaitable<Reply> route(HttpRequest &request);
    struct JobTarget
    {
        QueueConfig queue;
        TeamId team; ///< The caller's team; empty if the queue is public.
        ConfigVersion config;
        std::string jobId; ///< The path behind the queue's prefix; empty for the queue itself.
        Instant deadline; ///< Of the response; usually before the caller's time limit.
    };

    boost::asio::awaitable<Reply> submit(JobTarget target, JobId id, std::string body);
    /// Decides whether a new job may be stored, and whether it comes after those of other teams.
    AdmissionPolicy::Verdict admit(const JobTarget &target, Instant now);
    void recordTeamCall(TeamId team, const char *outcome);
    boost::asio::awaitable<Reply> jobState(const JobTarget &target, JobId id);
    boost::asio::awaitable<Reply> cancel(const JobTarget &target, JobId id);
    boost::asio::awaitable<Reply> storeCancellation(JobId id);
    boost::asio::awaitable<Reply> withdraw(const JobTarget &target, JobId id);
    boost::asio::awaitable<void> pauseBeforeRetry();
    /// Returns the refusal of a call that may not use the target's queue, or nothing. Sets the
    /// target's team.
    std::optional<Reply> refuseWithoutKey(JobTarget &target, std::string_view key);
    /// Returns whether a call that was admitted for `target` may still take effect.
    bool mayTakeEffect(const JobTarget &target) const;
    Reply waitingCount(const JobTarget &target);
    boost::asio::awaitable<platform::TransactionResult> transact(platform::Transaction transaction);
    boost::asio::awaitable<platform::ReadResult> readJob(JobId id);
    Reply refuse(int status, const char *reason, std::optional<Millis> retryAfter);

    boost::asio::io_context &m_io;
    platform::TableClient &m_table;
    const FleetView &m_view;
    Metrics &m_metrics;
    TableProbe m_probe;
    std::vector<std::unique_ptr<JobWriter>> m_writers; ///< By partition.
    AdmissionPolicy m_admission;
    RetrySpread m_retrySpread;
    TeamCallLog m_teamCalls;
};

} // namespace oleanderhall
