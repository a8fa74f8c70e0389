#include "workerdirectory.h"

#include "../../platform/discovery.h"
#include "../daemon/log.h"

#include <set>

namespace oleanderhall {

bool WorkerDirectory::apply(const TableWatcher::Update &update)
{
    bool isChanged = false;
    std::set<WorkerId> present;
    for (const platform::TableRow &row : update.rows) {
        isChanged = applyRow(row) || isChanged;
        if (update.isSnapshot)
            present.emplace(row.key);
    }
    if (update.isSnapshot)
        isChanged = std::erase_if(m_workers,
                                  [&](const auto &entry) { return !present.contains(entry.first); })
                > 0
            || isChanged;
    return isChanged;
}

bool WorkerDirectory::applyRow(const platform::TableRow &row)
{
    const WorkerId id(row.key);
    if (row.isDeleted)
        return m_workers.erase(id) > 0;
    try {
        WorkerInfo worker = platform::decodeWorker(row.key, row.value);
        const auto known = m_workers.find(id);
        if (known != m_workers.end() && known->second == worker)
            return false;
        m_workers.insert_or_assign(id, std::move(worker));
        return true;
    } catch (const std::exception &decodeError) {
        logWarning("worker_entry_unreadable", {{"key", row.key}, {"reason", decodeError.what()}});
        return m_workers.erase(id) > 0;
    }
}

std::vector<WorkerInfo> WorkerDirectory::workers() const
{
    std::vector<WorkerInfo> result;
    result.reserve(m_workers.size());
    for (const auto &[id, worker] : m_workers)
        result.push_back(worker);
    return result;
}

} // namespace oleanderhall
