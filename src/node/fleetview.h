#pragma once

#include "loadreport.h"

#include "oleanderhall/core/time.h"
#include "oleanderhall/jobs/fleetconfig.h"
#include "oleanderhall/maintenance/wave.h"
#include "oleanderhall/teams/accesslease.h"
#include "oleanderhall/teams/teamdirectory.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace oleanderhall {

/// Internal: a node's copy of the fleet's state in the table service: the configuration in force,
/// the requested maintenance waves and the owner's latest report.
struct FleetView
{
    struct OwnerReport
    {
        std::map<std::string, std::int64_t> waitingJobs; ///< Number of waiting jobs, by queue.
        /// The table's steady clock when the owner read the jobs that it counted; 0 if not known.
        std::int64_t countedMs = 0;
        Instant receivedAt;
        LoadReport load;
    };

    std::optional<FleetConfig> config;
    TeamDirectory teams; ///< Of `config`.
    AccessLease accessLease; ///< Ends when `config` has not been confirmed for too long.
    /// The version of the latest row of the configuration that could not be decoded; 0 if a later
    /// one could. What it changes is not known, so nothing confirms `config` meanwhile.
    std::uint64_t unreadableConfigRow = 0;
    std::map<std::int64_t, Wave> waves;
    std::map<std::int64_t, Instant> waveSeenAt; ///< When this node first read the wave.
    /// Hosts that need no further command of a wave, as its owners have recorded them, by wave.
    std::map<std::int64_t, std::set<HostId>> handledHosts;
    OwnerReport report;
    Instant lastContact{}; ///< When the last answered call to the table was sent.

    /// The table's steady clock at `lastContact`, or a little later.
    std::int64_t tableClockMs = 0;

    /// Returns the time on the table's steady clock in milliseconds. The error is at most the
    /// duration of the last call.
    std::int64_t tableTime(Instant now) const
    {
        return tableClockMs + std::chrono::duration_cast<Millis>(now - lastContact).count();
    }

    /// Time since the last contact after which the table counts as unreachable. It covers two long
    /// polls of one second each and a slow response.
    static constexpr Millis kContactTimeout{2500};

    bool isTableReachable(Instant now) const { return now - lastContact < kContactTimeout; }

    /// The greatest age of the latest report of an owner that is alive: one and a half times the
    /// interval at which an owner renews its lease.
    static constexpr Millis kReportLifetime{750};

    /// The greatest age of the owner's knowledge behind a count of waiting jobs. The platform
    /// requires a count to include a job 3 s after its acceptance.
    static constexpr Millis kMaxCountAge{3000};

    /// The greatest time since `report` was received; an owner reports twice a second.
    static constexpr Millis kMaxReportAge{2500};

    /// Returns whether the counts of `report` may be given to callers. A row that was read just now
    /// may be old: the owner may be lost, or behind with reading jobs.
    bool areCountsKnown(Instant now) const
    {
        const bool isRecent = report.countedMs == 0
            || tableTime(now) - report.countedMs <= kMaxCountAge.count();
        return isRecent && now - report.receivedAt <= kMaxReportAge;
    }

    /// Returns whether `report.load` is recent enough for decisions about admission.
    bool isLoadKnown(Instant now) const { return report.load.isUsable(tableTime(now)); }

    /// Returns whether the owner may start a new job of the queue without recording its release
    /// first. If jobs of the queue wait, the owner releases the new one in its turn. If the owner
    /// seems lost, its successor must be able to tell that the job was never started: a released
    /// job waits for the leases of workers that the successor can't reach. A report that was read
    /// just now may be that of an owner that was lost long ago.
    bool mayReleaseAtOnce(const std::string &queue, Instant now) const
    {
        const auto waiting = report.waitingJobs.find(queue);
        return now - report.receivedAt <= kReportLifetime && areCountsKnown(now)
            && (waiting == report.waitingJobs.end() || waiting->second == 0);
    }
};

} // namespace oleanderhall
