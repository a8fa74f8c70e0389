// Reservations of workers for steps whose tasks are larger than what other teams' tasks free.
#include "oleanderhall/scheduling/scheduler.h"

#include <algorithm>

namespace oleanderhall {

namespace {

// A step whose turn it is may be bypassed by smaller tasks of other teams for this long. Reserved
// workers stand idle in part, so most steps should find capacity before.
constexpr Millis kMaxBypassTime{1000};
constexpr std::size_t kMaxReservedShare = 2; // at most one in so many workers of a pool
constexpr int kManyTasks = 1000; // for a resource that the task doesn't use

int tasksThatFit(const Resources &need, const Resources &available)
{
    const auto count = [](std::int64_t needed, std::int64_t free) {
        if (needed <= 0)
            return kManyTasks;
        return static_cast<int>(std::clamp<std::int64_t>(free / needed, 0, kManyTasks));
    };
    return std::min({count(need.milliCores, available.milliCores),
                     count(need.memoryMb, available.memoryMb), count(need.gpus, available.gpus)});
}

/// Returns how many tasks of the step the worker can hold once its other tasks have ended.
int tasksThatHold(const WorkerState &worker, const StepSpec &spec)
{
    Resources need = spec.need;
    if (spec.usesIdleCores)
        need.milliCores = 0;
    Resources available = worker.info.capacity;
    for (const WorkerRun &run : worker.runs) {
        if (run.isLongRunning)
            available -= run.reservation;
    }
    const int count = tasksThatFit(need, available);
    return spec.maxPerWorker > 0 ? std::min(count, spec.maxPerWorker) : count;
}

} // namespace

/// Ends the pool's reservation if its step can't use it, or a worker of it takes no tasks or has
/// become too small.
void Scheduler::checkReservation(PoolState &pool, Instant now)
{
    if (pool.reservation.workers.empty())
        return;
    const StepPosition &position = pool.reservation.position;
    const auto isUsable = [&] {
        if (!hasTasksToStart(position))
            return false;
        const TrackedJob &job = m_jobs.at(position.job);
        const StepSpec &spec = job.spec.steps[static_cast<std::size_t>(position.step)];
        if (!isWithinCap(job, spec, 1, now))
            return false;
        int fitting = 0;
        for (const WorkerId id : pool.reservation.workers) {
            const auto worker = m_workers.find(id);
            if (worker == m_workers.end() || !worker->second.acceptsNewTasks(now))
                return false;
            fitting += tasksThatHold(worker->second, spec);
        }
        return fitting >= (spec.isGang ? spec.count : 1);
    };
    if (!isUsable())
        pool.reservation = {};
}

/// Handles that the step of the team whose turn it is finds no worker.
void Scheduler::onStepRefused(PoolState &pool, const StepPosition &position, Instant now)
{
    const TrackedJob &job = m_jobs.at(position.job);
    if (job.isOverRate)
        return;
    const auto [entry, isNew] = pool.refused.try_emplace(job.spec.team, RefusedStep{position, now});
    if (entry->second.position != position)
        entry->second = {position, now};
    if (pool.reservation.workers.empty() && now - entry->second.since >= kMaxBypassTime)
        reserveWorkers(pool, position, now);
}

/// Handles that a task of the step has started.
void Scheduler::onStepStarted(PoolState &pool, const StepPosition &position)
{
    const auto refused = pool.refused.find(m_jobs.at(position.job).spec.team);
    if (refused != pool.refused.end() && refused->second.position == position)
        pool.refused.erase(refused);
    if (pool.reservation.position == position)
        pool.reservation = {};
}

/// Reserves the workers that have the most free capacity and can hold a task of the step, or all
/// tasks of a gang, once their other tasks have ended.
void Scheduler::reserveWorkers(PoolState &pool, const StepPosition &position, Instant now)
{
    const TrackedJob &job = m_jobs.at(position.job);
    const StepSpec &spec = job.spec.steps[static_cast<std::size_t>(position.step)];
    if (job.spec.queue.advice)
        return; // the policy service may deny any worker
    std::vector<std::pair<std::int64_t, WorkerState *>> byFreeCores;
    for (WorkerState *worker : pool.workers) {
        if (worker->acceptsNewTasks(now)
            && (spec.requiredLabel.empty() || worker->info.hasLabel(spec.requiredLabel)))
            byFreeCores.emplace_back(-worker->freeCapacity().milliCores, worker);
    }
    std::stable_sort(byFreeCores.begin(), byFreeCores.end(),
                     [](const auto &a, const auto &b) { return a.first < b.first; });
    const int tasks = spec.isGang ? spec.count : 1;
    int fitting = 0;
    std::set<WorkerId> reserved;
    for (const auto &[negatedFree, worker] : byFreeCores) {
        const int count = tasksThatHold(*worker, spec);
        if (count <= 0)
            continue;
        reserved.insert(worker->info.id);
        fitting += count;
        if (fitting >= tasks || reserved.size() * kMaxReservedShare > pool.workers.size())
            break;
    }
    if (fitting < tasks
        || (reserved.size() > 1 && reserved.size() * kMaxReservedShare > pool.workers.size()))
        return;
    pool.reservation = {position, std::move(reserved)};
    logDecision({"workers_reserved",
                 {{"job", textOf(position.job)},
                  {"team", job.spec.team.name()},
                  {"workers", std::to_string(pool.reservation.workers.size())}}});
}

} // namespace oleanderhall
