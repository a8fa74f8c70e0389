#pragma once

#include "oleanderhall/core/ids.h"
#include "oleanderhall/core/time.h"

#include "../daemon/settings.h"

#include <optional>
#include <string>

namespace oleanderhall {

/// Internal: what a fleet node learns from its settings file, flags and environment.
struct NodeSettings
{
    EntryId id;
    ZoneId zone;
    SocketAddress callerAddress;
    SocketAddress healthAddress;
    SocketAddress metricsAddress;
    std::string tableAddress; ///< IP:PORT of the transactional table service.
    std::string hostServiceAddress; ///< IP:PORT of the platform's host service; empty for none.
    std::string adviceAddress; ///< IP:PORT of the policy service; empty for none.
    double processorShare = 1; ///< Of one core.
    Millis taskStopTimeout{400};
    Millis statusLifetime{120000};
    Millis moveTime{1500};
    Millis maintenanceTime{2000};
    Millis hostOrderPause{3000}; ///< Before orders to a host from another holder.
    Millis shutdownTimeout{6000}; ///< The platform kills the process after this.
};

/// Internal: reads flags, environment and the settings file that --settings or
/// OLEANDERHALL_CONFIG names. Returns nothing when the program should end, with its exit code. All
/// findings are printed together.
std::optional<NodeSettings> parseNodeSettings(int argc, const char *const *argv, int &exitCode);

} // namespace oleanderhall
