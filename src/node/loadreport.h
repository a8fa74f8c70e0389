#pragma once

#include "oleanderhall/core/ids.h"
#include "oleanderhall/core/time.h"
#include "oleanderhall/teams/teamconfig.h"
#include "oleanderhall/teams/teamrates.h"

#include <cpprest/json.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace oleanderhall {

/// Internal: what the owner reports to entry hosts so that they can refuse calls early.
struct LoadReport
{
    /// The wait of a new job that is placed after all waiting ones, by pool; 0 where absent.
    std::map<std::string, Millis> poolWaits;
    /// Jobs a second that all entry hosts have accepted, for teams near or above their weight.
    std::map<std::string, double> teamRates;
    std::int64_t writtenMs = 0; ///< On the table service's monotonic clock.

    /// Returns whether the report may be used at `nowMs`, the time on the table service's clock.
    bool isUsable(std::int64_t nowMs) const;
};

/// Internal: returns the rates, jobs a second, of the `teams` that are near or above their weight.
std::map<std::string, double> reportedTeamRates(const TeamRates &rates,
                                                const std::vector<TeamConfig> &teams, Instant now);
/// Internal: adds `report` to the owner's report `record`.
void encodeLoadReport(const LoadReport &report, web::json::value &record);
/// Internal: returns the load report in the owner's report `record`, or an unusable one if it has
/// none. Throws web::json::json_exception if it is malformed.
LoadReport decodeLoadReport(const web::json::value &record);

} // namespace oleanderhall
