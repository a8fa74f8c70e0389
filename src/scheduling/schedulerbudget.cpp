// What maintenance may end without taking too many tasks of a step away at once.
#include "oleanderhall/scheduling/scheduler.h"

namespace oleanderhall {

namespace {

constexpr int kAtWork = 100; // percent

} // namespace

Scheduler::StepPresence Scheduler::presenceOf(const TaskId &id, WorkerId here) const
{
    StepPresence presence;
    for (const auto &[workerId, worker] : m_workers) {
        for (const WorkerRun &peer : worker.runs) {
            if (peer.task.job != id.job || peer.task.occurrence != id.occurrence
                || peer.task.step != id.step)
                continue;
            const bool isAtWork = peer.phase == WorkerRun::Phase::Running && peer.percent >= kAtWork
                && worker.failures == 0 && !worker.isEnding;
            if (workerId != here) {
                presence.elsewhere += isAtWork ? 1 : 0;
                continue;
            }
            presence.here += isAtWork ? 1 : 0;
            // It may have got to work since the last look. What is being stopped counts as away: an
            // order of ours ends it.
            presence.mayBeHere += peer.phase != WorkerRun::Phase::Stopping ? 1 : 0;
        }
    }
    return presence;
}

void Scheduler::evacuate(const std::set<WorkerId> &workers, Instant now)
{
    for (const WorkerId id : workers) {
        const auto found = m_workers.find(id);
        if (found == m_workers.end() || found->second.isEnding)
            continue;
        for (WorkerRun &run : found->second.runs) {
            const StepSpec *spec = findSpec(run.task);
            if (!run.isLongRunning || !spec || run.phase != WorkerRun::Phase::Running)
                continue;
            const StepPresence presence = presenceOf(run.task, id);
            const int itself = run.percent >= kAtWork && found->second.failures == 0 ? 1 : 0;
            const int others = presence.elsewhere + presence.here - itself;
            if (spec->maxDisrupted >= 0 && spec->count - others > spec->maxDisrupted)
                continue;
            decided({"run_evacuated", {{"task", textOf(run.task)}, {"worker", id.name()}}});
            requestStop(run, now);
        }
    }
}

bool Scheduler::mayInterrupt(WorkerId id) const
{
    const auto found = m_workers.find(id);
    if (found == m_workers.end())
        return true;
    if (found->second.isEnding)
        return false;
    for (const WorkerRun &run : found->second.runs) {
        const StepSpec *spec = findSpec(run.task);
        if (!run.isLongRunning || !spec)
            return false;
        if (spec->maxDisrupted < 0)
            continue;
        // All that are here end together.
        const StepPresence presence = presenceOf(run.task, id);
        if (presence.mayBeHere > 0 && spec->count - presence.elsewhere > spec->maxDisrupted)
            return false;
    }
    return true;
}

} // namespace oleanderhall
