#pragma once

#include "oleanderhall/core/time.h"
#include "oleanderhall/maintenance/hostinfo.h"

#include <map>
#include <vector>

namespace oleanderhall {

/// A WorkerEndVerifier tells whether a host command that the platform reported as done has ended
/// the worker process it was meant for. The platform also reports a repeated command as done,
/// without carrying it out again. If an earlier owner sent the first command, the worker process
/// now on the host was started after that command and is still running. A list of hosts that was
/// requested after the command's answer distinguishes the two cases.
class WorkerEndVerifier
{
public:
    struct Verdict
    {
        HostId host;
        WorkerId worker;
        bool hasEnded = false;
    };

    /// Records that the command to `host`, on which `worker` ran, was reported as done at
    /// `answered`.
    void commandDone(HostId host, WorkerId worker, Instant answered);
    /// Checks the recorded workers against a complete list of hosts that was requested at
    /// `requested`. Returns a verdict for each command that was answered before `requested`, and
    /// removes its record.
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
