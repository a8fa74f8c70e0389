#pragma once

#include "../platform/standin/runobserver.h"

#include "oleanderhall/core/time.h"
#include "oleanderhall/jobs/jobspec.h"
#include "oleanderhall/jobs/jobstate.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace oleanderhall::soak {

/// Internal: checks what callers and workers see against the promises: no task runs twice, in the
/// wrong order, too often, unasked or after a refusal, and no accepted job is lost or told wrongly.
class InvariantChecker : public platform::RunObserver
{
public:
    // What callers do and hear.
    void onSubmitted(const JobSpec &job);
    void onAccepted(JobId id);
    /// Every attempt to hand the job in was refused, so that it must never run.
    void onRefused(JobId id);
    void onCancelSent(JobId id);
    /// A caller was told the state; nothing: that there is no such job.
    void onStateReported(JobId id, std::optional<JobState> state);

    // What workers see.
    void started(const TaskId &task, std::int64_t run, const std::string &worker) override;
    void ended(const TaskId &task, std::int64_t run, RunOutcome end) override;
    void endNoted(const TaskId &task, std::int64_t run) override;

    /// Checks, when all faults are over and time was left, that nothing is open.
    void checkFinalState();
    /// Returns whether every accepted job was told to be over.
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
        std::optional<JobState> reportedState;
    };
    struct Task
    {
        std::map<std::int64_t, std::string> running; ///< Run and its worker.
        std::map<std::int64_t, RunOutcome> outcomes;
        bool isDone = false;
        bool isDoneAcknowledged = false;
        int failures = 0;
        int acknowledgedFailures = 0;
    };

    void addViolation(const std::string &what);
    bool isStepDone(const Job &job, int step) const;

    std::map<JobId, Job> m_jobs;
    std::map<TaskId, Task> m_tasks;
    std::vector<std::string> m_violations;
    std::size_t m_runs = 0;
};

} // namespace oleanderhall::soak
