// How many cores the work of each pool requires.
#include "oleanderhall/scheduling/scheduler.h"

#include <algorithm>

namespace oleanderhall {

namespace {

constexpr double kMilliCoresPerCore = 1000;
/// Plans for finishing the work of a pool within this share of its jobs' objective.
constexpr double kObjectiveShare = 0.5;
constexpr double kMinHorizonSeconds = 1; // a host takes longer than this to join
// As long as it takes to move a host to the pool and to read the state of its worker.
constexpr Millis kLookAhead{1800};

} // namespace

PoolDemands Scheduler::poolDemands(Instant now)
{
    struct Load
    {
        double work = 0; ///< In core-seconds.
        double weightedHorizon = 0;
    };
    PoolDemands demands;
    std::map<PoolId, Load> loads;
    for (const auto &[name, queue] : m_queues)
        demands[queue.pool];
    for (const JobId id : m_active) {
        const TrackedJob &job = m_jobs.at(id);
        const PoolId pool = job.spec.queue.pool;
        for (const Occurrence &occurrence : job.occurrences) {
            if (job.isLongRunning()) {
                for (const StepSpec &step : job.spec.steps) {
                    if (step.maxPerWorker > 0) {
                        const int perWorker = std::max(1, step.maxPerWorker);
                        demands[pool].minHosts = std::max(demands[pool].minHosts,
                                                          (step.count + perWorker - 1) / perWorker);
                    }
                    if (!step.usesIdleCores)
                        demands[pool].longRunningCores += step.count
                            * static_cast<double>(step.need.milliCores) / kMilliCoresPerCore;
                }
                continue;
            }
            const double left = remainingWork(job, &occurrence);
            const double criticalPath = std::chrono::duration<double>(
                                            remainingCriticalPath(job, &occurrence))
                                            .count();
            const double allowance = std::chrono::duration<double>(job.spec.queue.allowance)
                                         .count();
            const double horizon = std::max(
                kMinHorizonSeconds,
                kObjectiveShare * (job.spec.queue.stretch * criticalPath + allowance));
            loads[pool].work += left;
            loads[pool].weightedHorizon += left * horizon;
        }
    }
    for (auto &[pool, demand] : demands) {
        const auto load = loads.find(pool);
        const double work = load == loads.end() ? 0 : load->second.work;
        const double horizon = work <= 0 ? kMinHorizonSeconds : load->second.weightedHorizon / work;
        const auto arrivals = m_arrivals.find(pool);
        const double rate = arrivals == m_arrivals.end()
            ? 0
            : arrivals->second.rateAhead(now, kLookAhead);
        const double lookAhead = std::chrono::duration<double>(kLookAhead).count();
        demand.cores = std::max(rate, (work + rate * lookAhead) / (horizon + lookAhead));
    }
    return demands;
}

} // namespace oleanderhall
