#pragma once

#include "oleanderhall/scheduling/scheduler.h"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace oleanderhall::test {

/// One run on a FakeWorker.
struct FakeRun
{
    TaskId task;
    std::int64_t run = 0;
    Instant started;
    Instant endTime;
    RunOutcome outcome = RunOutcome::Done;
    std::string checkpoint;
};

/// An in-memory worker that follows the platform's specification of leases, fencing tokens and
/// ended runs.
class FakeWorker
{
public:
    FakeWorker() = default;
    FakeWorker(WorkerInfo entry, Millis clockAhead)
        : info(std::move(entry))
        , m_clockAhead(clockAhead)
    {}

    Millis clock(Instant now) const
    {
        return std::chrono::duration_cast<Millis>(now.time_since_epoch()) + m_clockAhead;
    }
    CallResult start(const StartCommand &command, std::int64_t token, Instant now, Instant endTime,
                     RunOutcome outcome);
    CallResult stop(const StopCommand &command, std::int64_t token, Instant now);
    CallResult poll(const PollRequest &request, std::int64_t token, Instant now,
                    WorkerStatus &status);
    /// Replaces the process by another one under the same id, which knows nothing of the earlier.
    void restart(Instant now);
    /// Ends the runs whose end time has passed, and all runs if the lease has expired.
    void step(Instant now);
    Resources used() const;
    bool runs(const TaskId &task) const { return runOf(task) != 0; }
    /// Returns the number of the task's active run on this worker, or 0.
    std::int64_t runOf(const TaskId &task) const;

    WorkerInfo info;
    bool isReachable = true;
    std::vector<FakeRun> running;
    std::vector<EndedRun> ended;
    std::map<TaskId, Resources> needs;

private:
    static constexpr Millis kMaxLease{10000}; // limit of the platform

    void extendLease(Millis expiry, Instant now);
    void end(std::size_t index, RunOutcome outcome);
    /// Returns whether `token` is outdated; otherwise accepts it.
    bool isFenced(std::int64_t token);

    Millis m_clockAhead{0};
    Millis m_leaseExpiry{0};
    std::int64_t m_token = 0;
    std::int64_t m_lastEnd = 0;
    std::map<TaskId, std::int64_t> m_closedRuns; ///< The highest run that was stopped or has ended.
};

JobSpec makeJob(std::uint64_t id, const std::string &pool, std::vector<StepSpec> steps);
StepSpec makeStep(int count, Millis estimate, std::vector<int> after = {});
WorkerInfo makeWorker(const std::string &id, const std::string &pool, std::int64_t milliCores);

} // namespace oleanderhall::test
