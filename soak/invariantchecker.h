#pragma once

#include "availabilitychecker.h"

#include "../platform/standin/runobserver.h"

#include "oleanderhall/core/time.h"
#include "oleanderhall/jobs/jobspec.h"
#include "oleanderhall/jobs/jobstate.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace oleanderhall::soak {

/// Internal: checks invariants on what callers and workers observe:
/// - A task belongs to a submitted job that was not refused.
/// - A task has at most one active run, which starts after the steps that the task depends on.
/// - A task is not started again after its completion or its last allowed failure was acknowledged.
/// - No accepted job is lost or reported with a wrong state.
/// - No command ends a long-running task beyond the disruption budget of its step.
/// - No start brings a worker over its capacity, or over the one it had shortly before.
/// - A task that crashes its workers is started at most twice after three crashes.
class InvariantChecker : public platform::RunObserver
{
public:
    // Events at callers.
    void onSubmitted(const JobSpec &job);
    void onAccepted(JobId id);
    /// Each task of the submitted job crashes its worker.
    void expectCrashes(JobId id) { m_jobs[id].crashesWorkers = true; }
    /// Every attempt to submit the job was refused, so it must never run.
    void onRefused(JobId id);
    void onCancelSent(JobId id);
    /// A caller received the job's state, or nullopt when the node reported no such job.
    void onStateReported(JobId id, std::optional<JobState> state);

    // Events at workers.
    void onRunStarted(const TaskId &task, std::int64_t run, const std::string &worker) override;
    void onRunEnded(const TaskId &task, std::int64_t run, RunOutcome outcome) override;
    void onEndAcknowledged(const TaskId &task, std::int64_t run) override;
    /// A command to the host of `worker` ends all runs there.
    void onHostCommand(const std::string &worker);
    /// A worker was started or its capacity has changed.
    void onWorkerResized(const std::string &worker, std::int64_t milliCores);
    /// A worker that runs `task` is about to terminate without a command.
    void onWorkerCrashed(const TaskId &task) { ++m_tasks[task].crashes; }
    /// Sets a test for whether a fault may have delayed commands to a worker. The time of their
    /// arrival shows nothing.
    void setDelayTest(std::function<bool(const std::string &)> test) { m_delayTest = test; }

    /// Checks that every accepted job is finished and none of its tasks still runs. Call it when
    /// all faults have ended and the jobs had time to finish.
    void checkFinalState();
    /// Returns whether every accepted job was reported in a final state.
    bool areAllJobsFinished() const;
    std::vector<JobId> unfinishedJobs() const;
    const std::vector<std::string> &violations() const { return m_violations; }
    std::size_t runs() const { return m_runs; }

private:
    struct Job
    {
        JobSpec spec;
        bool isAccepted = false;
        bool isRefused = false;
        bool isCancelSent = false;
        bool crashesWorkers = false;
        std::optional<JobState> reportedState;
    };
    struct Task
    {
        std::map<std::int64_t, std::string> running; ///< Worker by run number.
        std::map<std::int64_t, RunOutcome> outcomes;
        bool isDone = false;
        bool isDoneAcknowledged = false;
        int failures = 0;
        int acknowledgedFailures = 0;
        int crashes = 0; ///< Of workers that ran it, without a command.
        int startsAfterCrashes = 0; ///< Since it had crashed kMaxCrashes workers.
    };

    void addViolation(const std::string &what);
    void checkCommand(const TaskId &task);
    void checkCapacity(const std::string &start, const std::string &worker);
    bool isStepDone(const Job &job, int step) const;

    std::map<JobId, Job> m_jobs;
    std::map<TaskId, Task> m_tasks;
    /// The capacities of each worker and since when it has them, the latest last.
    std::map<std::string, std::vector<std::pair<Instant, std::int64_t>>> m_capacities;
    AvailabilityChecker m_availability;
    std::function<bool(const std::string &)> m_delayTest;
    std::vector<std::string> m_violations;
    std::size_t m_runs = 0;
};

} // namespace oleanderhall::soak
