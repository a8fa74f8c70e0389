#pragma once

#include "oleanderhall/core/ids.h"
#include "oleanderhall/jobs/resources.h"
#include "oleanderhall/scheduling/workerinfo.h"

namespace oleanderhall {

/// One host as listed by the platform.
struct HostInfo
{
    enum class State { Ready, Moving, Maintenance, Down };

    HostId id;
    PoolId pool;
    State state = State::Down;
    ZoneId zone;
    Resources capacity;
    WorkerId worker; ///< The current worker process; empty if none runs.
};

/// The result of a command to a host.
enum class HostCommandResult {
    Done, ///< Carried out by this call or an earlier one; it ended all work then on the host.
    Busy, ///< The host is not ready, or is about to be moved or maintained.
    NotOfWave, ///< The host does not belong to the wave.
    Fenced, ///< Rejected because of the fencing token: a newer owner has taken over.
    Invalid, ///< Rejected as invalid; the same command would be rejected again.
    Refused, ///< Rejected before it was carried out, for example by a rate limit.
    Unknown, ///< No conclusive answer; the command may have been carried out.
};

} // namespace oleanderhall
