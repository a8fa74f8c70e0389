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

/// A TicketCache holds the answers of the policy service: which workers may run a step, and until
/// when.
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

    /// Returns the ticket of `worker` for `step`, or an empty string if none is valid at `now`.
    std::string find(const StepKey &step, WorkerId worker, Instant now) const;
    /// Returns whether a request for `step` may be sent: none is in flight, and the last one was
    /// answered or has failed some time ago.
    bool mayRequest(const StepKey &step, Instant now) const;
    void addPendingRequest(const StepKey &step) { m_nextRequests[step] = Instant::max(); }
    /// Returns whether the policy service has denied `step` to `worker`.
    bool isDenied(const StepKey &step, WorkerId worker) const;
    /// Ends the pending request for `step`. Workers of `requested` without a ticket count as
    /// denied.
    void handleAnswer(const StepKey &step, const std::vector<WorkerId> &requested,
                      const std::vector<std::pair<WorkerId, std::string>> &tickets,
                      Instant validUntil);
    /// Ends the pending request for `step`, which was not answered. The next one may be sent at
    /// `retryAt`. Tickets and denials stay as they are.
    void handleFailure(const StepKey &step, Instant retryAt) { m_nextRequests[step] = retryAt; }
    /// Removes a ticket that the worker rejected.
    void removeTicket(const StepKey &step, WorkerId worker);
    /// Removes all entries of a job.
    void removeJob(JobId job);

private:
    struct Ticket
    {
        std::string text;
        Instant validUntil;
    };
    std::map<std::pair<StepKey, WorkerId>, Ticket> m_tickets;
    std::set<std::pair<StepKey, WorkerId>> m_denied;
    /// When the next request may be sent, for steps with a request that is in flight or failed.
    std::map<StepKey, Instant> m_nextRequests;
};

} // namespace oleanderhall
