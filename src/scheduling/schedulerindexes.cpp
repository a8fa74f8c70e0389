// Checks of the indexes of jobs and workers against a search of all of them.
#include "oleanderhall/scheduling/scheduler.h"

#include <algorithm>

namespace oleanderhall {

bool Scheduler::areIndexesConsistent() const
{
    return isEndedIndexConsistent() && isStartableIndexConsistent() && isHolderIndexConsistent()
        && isWorkerListConsistent();
}

bool Scheduler::isEndedIndexConsistent() const
{
    const auto isIn = [](const std::vector<JobId> &jobs, JobId id) {
        return std::find(jobs.begin(), jobs.end(), id) != jobs.end();
    };
    std::size_t listed = 0;
    for (const auto &[id, job] : m_jobs) {
        const bool isListed = m_ended.contains({job.ended, id}) || m_due.contains(id);
        listed += isListed ? 1 : 0;
        const bool isBeingDeleted = isIn(m_expiredJobs, id)
            || (m_batchInFlight && isIn(m_batchDropped, id));
        const bool isEnded = isFinal(job.state) && job.isRecorded && !isBeingDeleted;
        if (isListed != isEnded)
            return false;
    }
    return listed == m_ended.size() + m_due.size();
}

/// A job without tasks to start may be listed until the next ranking.
bool Scheduler::isStartableIndexConsistent() const
{
    std::size_t listed = 0;
    for (const JobId id : m_active) {
        const TrackedJob &job = m_jobs.at(id);
        const auto pool = m_pools.find(job.spec.queue.pool);
        if (pool == m_pools.end())
            return false;
        const bool isListed = pool->second.startable.contains(id);
        listed += isListed ? 1 : 0;
        for (const Occurrence &occurrence : job.occurrences) {
            for (int step = 0; step < static_cast<int>(occurrence.steps.size()); ++step) {
                if (!isListed && hasTasksToStart(job, occurrence, step))
                    return false;
            }
        }
    }
    std::size_t indexed = 0;
    for (const auto &[id, pool] : m_pools)
        indexed += pool.startable.size();
    return listed == indexed;
}

bool Scheduler::isHolderIndexConsistent() const
{
    std::map<JobId, std::vector<const WorkerState *>> expected;
    for (const auto &[id, worker] : m_workers) {
        for (const WorkerRun &run : worker.runs)
            expected[run.task.job].push_back(&worker);
    }
    return std::equal(expected.begin(), expected.end(), m_holders.begin(), m_holders.end(),
                      [](const auto &a, const auto &b) {
                          return a.first == b.first
                              && std::is_permutation(a.second.begin(), a.second.end(),
                                                     b.second.begin(), b.second.end());
                      });
}

bool Scheduler::isWorkerListConsistent() const
{
    return std::equal(
        m_workerList.begin(), m_workerList.end(), m_workers.begin(), m_workers.end(),
        [](const WorkerState *worker, const auto &entry) { return worker == &entry.second; });
}

} // namespace oleanderhall
