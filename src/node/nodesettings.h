#pragma once

#include "oleanderhall/core/ids.h"
#include "oleanderhall/core/time.h"

#include "../daemon/settings.h"

#include <optional>
#include <string>

namespace oleanderhall {

/// Internal: the settings of a fleet node from its settings file, flags and environment.
struct NodeSettings
{
    EntryId id;
    ZoneId zone;
    SocketAddress callerAddress;
    SocketAddress healthAddress;
    SocketAddress metricsAddress;
    std::string tableAddress; ///< IP:PORT of the transactional table service.
    /// IP:PORT of the platform's host service; when empty, no hosts are moved or maintained.
    std::string hostServiceAddress;
    /// IP:PORT of the policy service; when empty, no advice is requested.
    std::string adviceAddress;
    double processorCores = 1; ///< Processor time of this process, in cores.
    Millis taskStopTimeout{400}; ///< Longest time that a worker takes to stop a task.
    Millis statusLifetime{120000}; ///< How long the state of an ended job is kept.
    Millis moveTime{1500}; ///< How long a move of a host takes.
    Millis maintenanceTime{2000}; ///< How long a host's maintenance takes.
    Millis hostCommandPause{3000}; ///< Between the commands of two owners to a host.
    Millis shutdownTimeout{6000}; ///< From the stop signal until the platform kills the process.
    /// How long after the acknowledgement of a job's cancellation its tasks may still start.
    Millis cancelTimeout{3000};
    /// How long after its withdrawal a team's key may still admit calls on any node; 0 if nodes
    /// without access to the table may go on admitting it.
    Millis keyWithdrawalTimeout{0};
    Millis teamRateWindow{5000}; ///< The span over which the rate of a team's jobs is judged.
    SocketAddress peerAddress; ///< Where other fleet nodes reach this one; port 0 if they don't.
};

/// Internal: reads flags, environment and the settings file that --settings or
/// OLEANDERHALL_CONFIG names. Returns nothing and sets `exitCode` when the program should exit. All
/// errors in the settings are printed together.
std::optional<NodeSettings> parseNodeSettings(int argc, const char *const *argv, int &exitCode);

} // namespace oleanderhall
