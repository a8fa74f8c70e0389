#pragma once

#include "oleanderhall/core/time.h"
#include "oleanderhall/jobs/stepspec.h"
#include "oleanderhall/jobs/taskid.h"

#include <map>
#include <optional>
#include <string>

namespace oleanderhall::soak {

/// Internal: checks, on what happens at workers and hosts, that no command ends a long-running task
/// while as many other tasks of its step are missing as the step's disruption budget allows. A task
/// is missing if a command has ended it, or if it has not been at work for a while, for any cause.
class AvailabilityChecker
{
public:
    void onRunStarted(const TaskId &task, const StepSpec &step, const std::string &worker);
    void onRunEnded(const TaskId &task);
    /// A command ends the task, which is still at work if it was before. Returns the violation, if
    /// it is one.
    std::optional<std::string> onCommand(const TaskId &task);
    /// Returns the tasks that run on `worker`.
    std::vector<TaskId> tasksOn(const std::string &worker) const;

private:
    struct Task
    {
        std::string worker; ///< Empty while it does not run.
        Instant startedAt;
        Instant lostAt; ///< When it last stopped running.
        bool isEndedByCommand = false; ///< The latest end; a new run that is ready clears it.
        int count = 0; ///< Of the step's tasks.
        int maxDisrupted = -1;
    };

    static bool isAtWork(const Task &task, Instant now);

    std::map<TaskId, Task> m_tasks;
};

} // namespace oleanderhall::soak
