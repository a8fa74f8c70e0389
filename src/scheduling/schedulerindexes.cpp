// Checks of the indexes of jobs and workers against a search of all of them.
#include "oleanderhall/scheduling/scheduler.h"

#include <algorithm>

namespace oleanderhall {

bool Scheduler::areIndexesConsistent() const
{
    return isEndedIndexConsistent();
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

} // namespace oleanderhall
