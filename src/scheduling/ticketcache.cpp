#include "oleanderhall/scheduling/ticketcache.h"

namespace oleanderhall {

std::string TicketCache::find(const StepKey &step, WorkerId worker, Instant now) const
{
    const auto found = m_tickets.find({step, worker});
    if (found == m_tickets.end() || found->second.validUntil <= now)
        return {};
    return found->second.text;
}

bool TicketCache::mayRequest(const StepKey &step, Instant now) const
{
    const auto found = m_nextRequests.find(step);
    return found == m_nextRequests.end() || now >= found->second;
}

bool TicketCache::isDenied(const StepKey &step, WorkerId worker) const
{
    return m_denied.contains({step, worker});
}

void TicketCache::handleAnswer(const StepKey &step, const std::vector<WorkerId> &requested,
                               const std::vector<std::pair<WorkerId, std::string>> &tickets,
                               Instant validUntil)
{
    m_nextRequests.erase(step);
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
    std::erase_if(m_nextRequests, [&](const auto &entry) { return entry.first.job == job; });
}

} // namespace oleanderhall
