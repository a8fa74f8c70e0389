#pragma once

#include "tablewatcher.h"

#include "oleanderhall/scheduling/workerinfo.h"

#include <map>
#include <vector>

namespace oleanderhall {

/// Internal: the workers in service discovery, kept up to date by the changes of its table. An
/// entry that can't be read names no worker; it is logged, and the other entries hold.
class WorkerDirectory
{
public:
    /// Applies a snapshot or changes. Returns whether a worker was added, changed or removed; the
    /// heartbeats of the workers change nothing.
    bool apply(const TableWatcher::Update &update);
    /// Returns all workers in the order of their ids.
    std::vector<WorkerInfo> workers() const;

private:
    bool applyRow(const platform::TableRow &row);

    std::map<WorkerId, WorkerInfo> m_workers;
};

} // namespace oleanderhall
