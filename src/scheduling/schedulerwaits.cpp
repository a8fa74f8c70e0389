// How long a new job would wait in each pool.
#include "oleanderhall/scheduling/scheduler.h"

#include <algorithm>

namespace oleanderhall {

namespace {

constexpr double kMilliCoresPerCore = 1000;
// Waiting work next to this share of free cores waits for something else, such as its team's cap.
constexpr double kRoomShare = 0.1;
constexpr Millis kMinWait{100}; // less is not worth a report
constexpr Millis kMaxWait{60000}; // also of a pool without capacity

} // namespace

std::map<PoolId, Millis> Scheduler::poolWaits(Instant now) const
{
    struct Load
    {
        double waiting = 0; ///< Work that no run has begun, in core-seconds.
        double cores = 0; ///< Of workers that take tasks or will soon, without long-running tasks.
        double freeCores = 0;
    };
    std::map<PoolId, Load> loads;
    for (const JobId id : m_active) {
        const TrackedJob &job = m_jobs.at(id);
        if (job.isLongRunning())
            continue;
        for (const Occurrence &occurrence : job.occurrences) {
            for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
                const StepSpec &spec = job.spec.steps[step];
                const TrackedStep &tracked = occurrence.steps[step];
                const auto tasks = static_cast<double>(tracked.tasks.size()) - tracked.doneTasks
                    - tracked.placedTasks;
                if (tasks <= 0 || spec.usesIdleCores)
                    continue;
                const std::chrono::duration<double> runTime = m_runTimes.expected(
                    job.spec.queue.name, spec);
                loads[job.spec.queue.pool].waiting += tasks * runTime.count()
                    * static_cast<double>(spec.need.milliCores) / kMilliCoresPerCore;
            }
        }
    }
    for (const auto &[id, worker] : m_workers) {
        const auto load = loads.find(worker.info.pool);
        if (load == loads.end() || !worker.isListed || worker.hasTerminated || worker.isCordoned
            || worker.info.isDraining)
            continue;
        std::int64_t milliCores = worker.info.capacity.milliCores;
        for (const WorkerRun &run : worker.runs)
            milliCores -= run.isLongRunning ? run.reservation.milliCores : 0;
        load->second.cores += static_cast<double>(milliCores) / kMilliCoresPerCore;
        if (worker.acceptsNewTasks(now))
            load->second.freeCores += static_cast<double>(worker.freeCapacity().milliCores)
                / kMilliCoresPerCore;
    }
    std::map<PoolId, Millis> waits;
    for (const auto &[pool, load] : loads) {
        if (load.waiting <= 0 || load.freeCores > kRoomShare * load.cores)
            continue;
        const double maxSeconds = std::chrono::duration<double>(kMaxWait).count();
        const double seconds = load.cores <= 0 ? maxSeconds
                                               : std::min(maxSeconds, load.waiting / load.cores);
        const auto wait = std::chrono::duration_cast<Millis>(
            std::chrono::duration<double>(seconds));
        if (wait >= kMinWait)
            waits[pool] = wait;
    }
    return waits;
}

} // namespace oleanderhall
