#pragma once

#include "oleanderhall/core/time.h"
#include "oleanderhall/jobs/fleetconfig.h"
#include "oleanderhall/maintenance/wave.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace oleanderhall {

/// Internal: what every node knows of the fleet from the table: the configuration in force, the
/// requested waves and the owner's latest report.
struct FleetView
{
    struct OwnerReport
    {
        std::map<std::string, std::int64_t> waitingJobs; ///< By queue's name.
        Instant receivedAt;
    };

    std::optional<FleetConfig> config;
    std::map<std::int64_t, Wave> waves;
    std::map<std::int64_t, Instant> waveSeenAt;
    /// Hosts that owners have recorded as maintained, by wave.
    std::map<std::int64_t, std::set<HostId>> maintainedHosts;
    OwnerReport report;
    Instant lastContact{}; ///< When the last answered call to the table was sent.

    std::int64_t
        tableClockMs = 0; ///< The table's steady clock at `lastContact`, or a little later.

    /// Returns the time on the table's steady clock, exact to a call's travel time.
    std::int64_t tableTime(Instant now) const
    {
        return tableClockMs + std::chrono::duration_cast<Millis>(now - lastContact).count();
    }

    /// How old the last contact may be before the table counts as out of reach: two waits of one
    /// second each, and a slow answer.
    static constexpr Millis kContactTimeout{2500};

    bool isTableReachable(Instant now) const { return now - lastContact < kContactTimeout; }
};

} // namespace oleanderhall
