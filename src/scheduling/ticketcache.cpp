#include "oleanderhall/scheduling/ticketcache.h"

namespace oleanderhall {

std::string TicketCache::find(const StepKey &step, WorkerId worker, Instant now) const
{
    const auto found = m_tickets.find({step, worker});
    if (found == m_tickets.end() || found->second.validUntil <= now)
        return {};
    return found->second.text;
}

bool TicketCache::isDenied(const StepKey &step, WorkerId worker) const
{
    return m_denied.contains({step, worker});
}

void TicketCache::handleAnswer(const StepKey &step, const std::vector<WorkerId> &requested,
                               bool isAnswered,
                               const std::vector<std::pair<WorkerId, std::string>> &tickets,
                               Instant validUntil)
{
    m_pendingRequests.erase(step);
    if (!isAnswered)
        return;
    for (const WorkerId worker : requested)
        m_denied.insert({step, worker});
    for (const auto &[worker, text] : tickets) {
        m_denied.erase({step, worker});
        m_tickets[{step, worker}] = {text, validUntil};
    }
}

void TicketCache::removeTicket(const StepKey &step, WorkerId worker)
{
    m_tickets.erase({step, worker});
}

void TicketCache::removeJob(JobId job)
{
    std::erase_if(m_tickets, [&](const auto &entry) { return entry.first.first.job == job; });
    std::erase_if(m_denied, [&](const auto &entry) { return entry.first.job == job; });
    std::erase_if(m_pendingRequests, [&](const StepKey &step) { return step.job == job; });
}

} // namespace oleanderhall
