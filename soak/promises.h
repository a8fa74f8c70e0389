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
class Promises : public platform::RunObserver
{
public:
    // What callers do and hear.
    void submitted(const JobSpec &job);
    void accepted(JobId id);
    /// Every attempt to hand the job in was refused, so that it must never run.
    void refused(JobId id);
    void cancelSent(JobId id);
    /// A caller was told the state; nothing: that there is no such job.
    void told(JobId id, std::optional<JobState> state);

    // What workers see.
    void onRunStarted(const TaskId &task, std::int64_t run, const std::string &worker) override;
    void onRunEnded(const TaskId &task, std::int64_t run, RunOutcome end) override;
    void onEndAcknowledged(const TaskId &task, std::int64_t run) override;

    /// Checks, when all faults are over and time was left, that nothing is open.
    void checkEnd();
    /// Returns whether every accepted job was told to be over.
    bool areAllOver() const;
    std::vector<JobId> openJobs() const;
    const std::vector<std::string> &violations() const { return m_violations; }
    std::size_t runs() const { return m_runs; }

private:
    struct Job
    {
        JobSpec spec;
        bool isAccepted = false;
        bool isRefused = false;
        bool isCancelSent = false;
        std::optional<JobState> told;
    };
    struct Task
    {
        std::map<std::int64_t, std::string> running; ///< Run and its worker.
        std::map<std::int64_t, RunOutcome> ends;
        bool isDone = false;
        bool isDoneNoted = false;
        int failures = 0;
        int failuresNoted = 0;
    };

    void violated(const std::string &what);
    bool isStepDone(const Job &job, int step) const;

    std::map<JobId, Job> m_jobs;
    std::map<TaskId, Task> m_tasks;
    std::vector<std::string> m_violations;
    std::size_t m_runs = 0;
};

} // namespace oleanderhall::soak
