// Disruption budgets: which runs maintenance may end without exceeding the number of tasks that a
// step can miss.
#include "oleanderhall/scheduling/scheduler.h"

namespace oleanderhall {

namespace {

constexpr int kReadyPercent = 100;

} // namespace

Scheduler::StepPresence Scheduler::presenceOf(const TaskId &id, WorkerId here) const
{
    StepPresence presence;
    for (const auto &[workerId, worker] : m_workers) {
        for (const WorkerRun &peer : worker.runs) {
            if (peer.task.job != id.job || peer.task.occurrence != id.occurrence
                || peer.task.step != id.step)
                continue;
            const bool isReady = peer.phase == WorkerRun::Phase::Running
                && peer.progressPercent >= kReadyPercent && worker.failedPolls == 0
                && !worker.isTerminating;
            if (workerId != here) {
                presence.elsewhere += isReady ? 1 : 0;
                continue;
            }
            presence.here += isReady ? 1 : 0;
            // A run may have become ready since the last poll. One that is being stopped counts as
            // missing already, because this owner's stop command ends it.
            presence.possiblyHere += peer.phase != WorkerRun::Phase::Stopping ? 1 : 0;
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
            const StepPresence presence = presenceOf(run.task, id);
            const int readyHere = run.progressPercent >= kReadyPercent
                    && found->second.failedPolls == 0
                ? 1
                : 0;
            const int others = presence.elsewhere + presence.here - readyHere;
            if (spec->maxDisrupted >= 0 && spec->count - others > spec->maxDisrupted)
                continue;
            logDecision({"run_evacuated", {{"task", textOf(run.task)}, {"worker", id.name()}}});
            requestStop(run, now);
        }
    }
}

bool Scheduler::mayInterrupt(WorkerId id) const
{
    const auto found = m_workers.find(id);
    if (found == m_workers.end())
        return true;
    if (found->second.isTerminating)
        return false;
    for (const WorkerRun &run : found->second.runs) {
        const StepSpec *spec = findSpec(run.task);
        if (!run.isLongRunning || !spec)
            return false;
        if (spec->maxDisrupted < 0)
            continue;
        // All runs on the worker end at the same time.
        const StepPresence presence = presenceOf(run.task, id);
        if (presence.possiblyHere > 0 && spec->count - presence.elsewhere > spec->maxDisrupted)
            return false;
    }
    return true;
}

} // namespace oleanderhall
