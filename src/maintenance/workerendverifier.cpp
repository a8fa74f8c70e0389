#include "oleanderhall/maintenance/workerendverifier.h"

namespace oleanderhall {

void WorkerEndVerifier::commandDone(HostId host, WorkerId worker, Instant answered)
{
    if (!worker.empty())
        m_pendingChecks[host] = {worker, answered};
}

std::vector<WorkerEndVerifier::Verdict> WorkerEndVerifier::verify(
    const std::vector<HostInfo> &hosts, Instant requested)
{
    std::map<HostId, const HostInfo *> listed;
    for (const HostInfo &host : hosts)
        listed[host.id] = &host;
    std::vector<Verdict> verdicts;
    std::erase_if(m_pendingChecks, [&](const auto &entry) {
        const auto &[host, check] = entry;
        if (requested <= check.answered)
            return false; // the list may predate the command
        const auto found = listed.find(host);
        const bool isRunning = found != listed.end()
            && found->second->state == HostInfo::State::Ready
            && found->second->worker == check.worker;
        verdicts.push_back({host, check.worker, !isRunning});
        return true;
    });
    return verdicts;
}

} // namespace oleanderhall
