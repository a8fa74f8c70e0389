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
        const auto &[host, question] = entry;
        if (requested <= question.answered)
            return false; // the list may be older than the order
        const auto found = listed.find(host);
        const bool goesOn = found != listed.end() && found->second->state == HostInfo::State::Up
            && found->second->worker == question.worker;
        verdicts.push_back({host, question.worker, !goesOn});
        return true;
    });
    return verdicts;
}

} // namespace oleanderhall
