#pragma once

#include "oleanderhall/core/time.h"
#include "oleanderhall/jobs/taskid.h"
#include "oleanderhall/scheduling/workerinfo.h"

#include <map>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace oleanderhall {

/// Tickets keeps what the policy service answered: which workers may run a step, and until when.
class TicketCache
{
public:
    struct StepKey
    {
        JobId job;
        int occurrence = 0;
        int step = 0;
        friend auto operator<=>(const StepKey &, const StepKey &) = default;
    };

    /// Returns the ticket of `worker` for `step`, or nothing usable when empty.
    std::string find(const StepKey &step, WorkerId worker, Instant now) const;
    /// Returns whether a question about `step` is on its way.
    bool isRequestPending(const StepKey &step) const { return m_pendingRequests.contains(step); }
    void addPendingRequest(const StepKey &step) { m_pendingRequests.insert(step); }
    /// Returns whether `worker` was asked about and may not run the step.
    bool isDenied(const StepKey &step, WorkerId worker) const;
    void handleAnswer(const StepKey &step, const std::vector<WorkerId> &asked, bool isAnswered,
                      const std::vector<std::pair<WorkerId, std::string>> &tickets,
                      Instant validUntil);
    /// Forgets one ticket that a worker turned away.
    void removeTicket(const StepKey &step, WorkerId worker);
    /// Forgets all steps of a job.
    void removeJob(JobId job);

private:
    struct Ticket
    {
        std::string text;
        Instant validUntil;
    };
    std::map<std::pair<StepKey, WorkerId>, Ticket> m_tickets;
    std::set<std::pair<StepKey, WorkerId>> m_denied;
    std::set<StepKey> m_pendingRequests;
};

} // namespace oleanderhall
