// How many cores each pool's work asks for.
#include "oleanderhall/scheduling/scheduler.h"

#include <algorithm>

namespace oleanderhall {

namespace {

constexpr double kMilli = 1000;
/// The work of a pool is to be done within this share of its jobs' time objective.
constexpr double kShareOfObjective = 0.5;
constexpr double kLeastHorizon = 1; // s; a host takes longer than this to join
constexpr double kLookAhead = 1.5; // s of arrivals, as long as a move takes

} // namespace

void Scheduler::expectWorkers(ServiceId pool, std::vector<WorkerId> workers)
{
    m_expected[pool] = std::move(workers);
}

PoolDemands Scheduler::poolDemands(Instant now)
{
    struct Load
    {
        double work = 0; ///< In core-seconds.
        double weightedHorizon = 0;
    };
    PoolDemands demands;
    std::map<ServiceId, Load> loads;
    for (const auto &[name, queue] : m_queues)
        demands[queue.service];
    for (const JobId id : m_active) {
        const JobRun &job = m_jobs.at(id);
        const ServiceId pool = job.spec.queue.service;
        for (const Occurrence &occurrence : job.occurrences) {
            if (job.isLongRunning()) {
                for (const StepSpec &step : job.spec.steps) {
                    if (step.maxPerWorker > 0) {
                        const int each = std::max(1, step.maxPerWorker);
                        demands[pool].leastHosts = std::max(demands[pool].leastHosts,
                                                            (step.count + each - 1) / each);
                    }
                    if (!step.usesIdleCores)
                        demands[pool].longRunningCores += step.count
                            * static_cast<double>(step.need.milliCores) / kMilli;
                }
                continue;
            }
            const double left = remainingWork(job, occurrence);
            const double chain = std::chrono::duration<double>(remainingChain(job, occurrence))
                                     .count();
            const double allowance = std::chrono::duration<double>(job.spec.queue.allowance)
                                         .count();
            const double horizon = std::max(
                kLeastHorizon, kShareOfObjective * (job.spec.queue.stretch * chain + allowance));
            loads[pool].work += left;
            loads[pool].weightedHorizon += left * horizon;
        }
    }
    for (auto &[pool, demand] : demands) {
        const auto load = loads.find(pool);
        const double work = load == loads.end() ? 0 : load->second.work;
        const double horizon = work <= 0 ? kLeastHorizon : load->second.weightedHorizon / work;
        const auto arrivals = m_arrivals.find(pool);
        const double rate = arrivals == m_arrivals.end() ? 0 : arrivals->second.rate(now);
        demand.cores = (work + rate * kLookAhead) / (horizon + kLookAhead);
    }
    return demands;
}

} // namespace oleanderhall
