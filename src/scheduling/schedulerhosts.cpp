// What lists of hosts show about workers: which have terminated, and which may run tasks that an
// earlier owner has started.
#include "oleanderhall/scheduling/scheduler.h"

#include <algorithm>

namespace oleanderhall {

void Scheduler::updateHosts(const std::vector<HostInfo> &hosts, Instant requested, Instant now)
{
    std::map<HostId, const HostInfo *> listed;
    for (const HostInfo &host : hosts) {
        listed[host.id] = &host;
        if (!m_firstHostList && !host.worker.empty())
            m_earlierWorkers[host.worker] = {host.id, host.pool, host.capacity};
        const auto worker = m_workers.find(host.worker);
        if (worker != m_workers.end())
            worker->second.host = host.id;
    }
    if (!m_firstHostList)
        m_firstHostList = requested;
    const auto isReplaced = [&](WorkerId worker, HostId id) {
        const auto host = listed.find(id);
        if (host == listed.end() || host->second->worker == worker)
            return false;
        return !host->second->worker.empty() || host->second->state != HostInfo::State::Ready;
    };
    const auto isMovedOrMaintained = [&](HostId id) {
        const auto host = listed.find(id);
        return host != listed.end()
            && (host->second->state == HostInfo::State::Moving
                || host->second->state == HostInfo::State::Maintenance);
    };
    for (auto &[id, worker] : m_workers) {
        if (worker.hasTerminated || worker.listedAt >= requested)
            continue;
        const bool isOnNoHost = worker.host.empty() && worker.failedPolls > 0;
        if (!isReplaced(id, worker.host) && !isOnNoHost)
            continue;
        worker.hasTerminated = true;
        logDecision({"worker_without_host", {{"worker", id.name()}}});
        if (!isMovedOrMaintained(worker.host))
            onWorkerCrashed(worker, now);
        dropAllRuns(worker, "its host runs another worker or none", now);
    }
    std::erase_if(m_earlierWorkers,
                  [&](const auto &entry) { return isReplaced(entry.first, entry.second.host); });
    m_nextPossibleCount = {};
    m_needsPlacement = true;
}

bool Scheduler::isSynced(PoolId pool) const
{
    // A worker that is not in the first list of hosts has ended before it or joined after it.
    const bool areListedSynced = std::all_of(
        m_workers.begin(), m_workers.end(), [&](const auto &entry) {
            const WorkerState &worker = entry.second;
            return worker.info.pool != pool || worker.isSynced || worker.hasTerminated
                || (worker.failedPolls > 0 && m_firstHostList && worker.listedAt > *m_firstHostList
                    && !m_earlierWorkers.contains(entry.first));
        });
    // A worker behind a network partition may lose its entry in service discovery while its runs
    // go on, so the workers of the first list of hosts must be covered, too.
    return m_firstHostList && areListedSynced
        && std::all_of(m_earlierWorkers.begin(), m_earlierWorkers.end(), [&](const auto &entry) {
               if (entry.second.pool != pool)
                   return true;
               const auto found = m_workers.find(entry.first);
               return found != m_workers.end()
                   && (found->second.isSynced || found->second.hasTerminated);
           });
}

bool Scheduler::isSynced() const
{
    return std::all_of(m_pools.begin(), m_pools.end(),
                       [this](const auto &entry) { return isSynced(entry.first); });
}

} // namespace oleanderhall
