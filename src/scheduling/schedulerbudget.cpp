// Disruption budgets: which runs maintenance may end without exceeding the number of tasks that a
// step can miss.
#include "oleanderhall/scheduling/scheduler.h"

namespace oleanderhall {

namespace {

constexpr int kReadyPercent = 100;

} // namespace

bool Scheduler::isCertainlyReady(const WorkerState &worker, const WorkerRun &run, Instant now) const
{
    return run.phase == WorkerRun::Phase::Running && run.progressPercent >= kReadyPercent
        && worker.failedPolls == 0 && !worker.isTerminating
        && worker.statusSent >= worker.distrustedUntil
        && now - worker.statusSent <= m_settings.maxStatusAge;
}

Scheduler::StepPresence Scheduler::presenceOf(const TaskId &id, WorkerId here, Instant now) const
{
    StepPresence presence;
    if (const auto found = m_workers.find(here); found != m_workers.end()) {
        for (const WorkerRun &run : found->second.runs) {
            if (run.task.job != id.job || run.task.occurrence != id.occurrence
                || run.task.step != id.step)
                continue;
            presence.here += isCertainlyReady(found->second, run, now) ? 1 : 0;
            // A run may have become ready since the last poll. One that is being stopped counts as
            // missing already, because this owner's stop command ends it.
            presence.possiblyHere += run.phase != WorkerRun::Phase::Stopping ? 1 : 0;
        }
    }
    const TrackedStep *step = findStep(id);
    if (!step)
        return presence;
    for (const TrackedTask &task : step->tasks) {
        if (!task.isPlaced || task.worker == here)
            continue;
        const auto worker = m_workers.find(task.worker);
        if (worker == m_workers.end())
            continue;
        const auto index = static_cast<int>(&task - step->tasks.data());
        const TaskId peer{id.job, id.occurrence, id.step, index};
        for (const WorkerRun &run : worker->second.runs) {
            if (run.task == peer && run.run == task.currentRun
                && isCertainlyReady(worker->second, run, now))
                ++presence.elsewhere;
        }
    }
    return presence;
}

void Scheduler::evacuate(const std::set<WorkerId> &workers, Instant now)
{
    for (const WorkerId id : workers) {
        const auto found = m_workers.find(id);
        if (found == m_workers.end() || found->second.isTerminating)
            continue;
        for (WorkerRun &run : found->second.runs) {
            const StepSpec *spec = findSpec(run.task);
            if (!run.isLongRunning || !spec || run.phase != WorkerRun::Phase::Running)
                continue;
            const StepPresence presence = presenceOf(run.task, id, now);
            const int readyHere = isCertainlyReady(found->second, run, now) ? 1 : 0;
            const int others = presence.elsewhere + presence.here - readyHere;
            if (spec->maxDisrupted >= 0 && spec->count - others > spec->maxDisrupted)
                continue;
            logDecision({"run_evacuated", {{"task", textOf(run.task)}, {"worker", id.name()}}});
            requestStop(run, now);
        }
    }
}

void Scheduler::preempt(const std::set<WorkerId> &workers, Instant now)
{
    for (const WorkerId id : workers) {
        const auto found = m_workers.find(id);
        if (found == m_workers.end())
            continue;
        for (WorkerRun &run : found->second.runs) {
            if (run.isLongRunning || run.phase != WorkerRun::Phase::Running)
                continue;
            logDecision({"run_preempted", {{"task", textOf(run.task)}, {"worker", id.name()}}});
            requestStop(run, now);
        }
    }
}

bool Scheduler::mayInterrupt(WorkerId id, Instant now) const
{
    const auto found = m_workers.find(id);
    return found == m_workers.end() || (!found->second.isTerminating && mayEndRuns(id, now));
}

bool Scheduler::mayEndRuns(WorkerId id, Instant now) const
{
    const auto found = m_workers.find(id);
    if (found == m_workers.end())
        return true;
    for (const WorkerRun &run : found->second.runs) {
        const StepSpec *spec = findSpec(run.task);
        if (!run.isLongRunning || !spec)
            return false;
        if (spec->maxDisrupted < 0)
            continue;
        // All runs on the worker end at the same time.
        const StepPresence presence = presenceOf(run.task, id, now);
        if (presence.possiblyHere > 0 && spec->count - presence.elsewhere > spec->maxDisrupted)
            return false;
    }
    return true;
}

} // namespace oleanderhall
