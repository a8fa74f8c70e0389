#pragma once

#include "oleanderhall/core/time.h"
#include "oleanderhall/maintenance/hostinfo.h"

#include <map>
#include <vector>

namespace oleanderhall {

/// WorkerEndVerifier tells whether an order to a host that the platform calls done has ended the
/// worker that this owner knew of there. An order that an earlier owner gave is called done, too,
/// when it is given again; then the worker is a later life and goes on. The host's entry in a list
/// that was asked for after the answer shows which it is.
class WorkerEndVerifier
{
public:
    struct Verdict
    {
        HostId host;
        WorkerId worker;
        bool hasEnded = false;
    };

    /// The order to `host`, on which `worker` ran, was answered as done at `answered`.
    void commandDone(HostId host, WorkerId worker, Instant answered);
    /// Takes a whole list of hosts that was asked for at `asked`. Returns what it tells of the
    /// workers that are in question, and forgets them.
    std::vector<Verdict> verify(const std::vector<HostInfo> &hosts, Instant requested);

private:
    struct PendingCheck
    {
        WorkerId worker;
        Instant answered;
    };

    std::map<HostId, PendingCheck> m_pendingChecks;
};

} // namespace oleanderhall
