#include "availabilitychecker.h"

#include "../platform/standin/standinworker.h"

#include "oleanderhall/core/clock.h"

namespace oleanderhall::soak {

namespace {

constexpr Millis kUnavailabilityNotice{4500}; // as the platform specifies it

} // namespace

bool AvailabilityChecker::isAtWork(const Task &task, Instant now)
{
    return !task.worker.empty() && now - task.startedAt >= platform::StandinWorker::kReadyTime;
}

void AvailabilityChecker::onRunStarted(const TaskId &id, const StepSpec &step,
                                       const std::string &worker)
{
    Task &task = m_tasks[id];
    task.worker = worker;
    task.startedAt = monotonicNow();
    task.count = step.count;
    task.maxDisrupted = step.maxDisrupted;
}

void AvailabilityChecker::onRunEnded(const TaskId &id)
{
    Task &task = m_tasks[id];
    const Instant now = monotonicNow();
    // Only a time at work ends an absence.
    if (isAtWork(task, now)) {
        task.lostAt = now;
        task.isEndedByCommand = false;
    }
    task.worker.clear();
}

std::optional<std::string> AvailabilityChecker::onCommand(const TaskId &id)
{
    Task &ended = m_tasks[id];
    const Instant now = monotonicNow();
    if (!isAtWork(ended, now))
        return std::nullopt;
    int missing = 0;
    for (int index = 0; index < ended.count; ++index) {
        const TaskId peer{id.job, id.occurrence, id.step, index};
        const auto found = m_tasks.find(peer);
        if (peer == id || (found != m_tasks.end() && isAtWork(found->second, now)))
            continue;
        const bool isMissing = found == m_tasks.end() || found->second.isEndedByCommand
            || now - found->second.lostAt >= kUnavailabilityNotice;
        missing += isMissing ? 1 : 0;
    }
    const std::string worker = ended.worker;
    ended.worker.clear();
    ended.lostAt = now;
    ended.isEndedByCommand = true;
    if (ended.maxDisrupted < 0 || missing < ended.maxDisrupted)
        return std::nullopt;
    return textOf(id) + " was ended on " + worker + " while " + std::to_string(missing)
        + " other tasks of its step were missing, of " + std::to_string(ended.maxDisrupted)
        + " that it may miss";
}

std::vector<TaskId> AvailabilityChecker::tasksOn(const std::string &worker) const
{
    std::vector<TaskId> result;
    for (const auto &[id, task] : m_tasks) {
        if (task.worker == worker)
            result.push_back(id);
    }
    return result;
}

} // namespace oleanderhall::soak
