#include "loadreport.h"

#include <cmath>

namespace oleanderhall {

namespace {

using web::json::value;

constexpr std::int64_t kMaxAgeMs = 2500; // the owner reports twice a second
// A node estimates the table's clock with an error of up to the duration of a call.
constexpr std::int64_t kMaxClockErrorMs = 1000;
// A team that is held at its weight has a rate a little below it, and must stay in the report.
constexpr double kReportedShare = 0.8;
constexpr double kRateFactor = 10; // rates are sent as whole tenths, which keeps the report small

} // namespace

bool LoadReport::isUsable(std::int64_t nowMs) const
{
    const std::int64_t age = nowMs - writtenMs;
    return writtenMs > 0 && age >= -kMaxClockErrorMs && age <= kMaxAgeMs;
}

std::map<std::string, double> reportedTeamRates(const TeamRates &rates,
                                                const std::vector<TeamConfig> &teams, Instant now)
{
    std::map<std::string, double> result;
    for (const TeamConfig &team : teams) {
        const double rate = rates.rate(team.id, now);
        if (rate > 0 && rate > kReportedShare * team.weight)
            result[team.id.name()] = rate;
    }
    return result;
}

void encodeLoadReport(const LoadReport &report, value &record)
{
    value waits = value::object();
    for (const auto &[pool, wait] : report.poolWaits)
        waits[pool] = value(static_cast<std::int64_t>(wait.count()));
    value rates = value::object();
    for (const auto &[team, rate] : report.teamRates)
        rates[team] = value(static_cast<std::int64_t>(std::ceil(rate * kRateFactor)));
    record["writtenMs"] = value(report.writtenMs);
    record["poolWaitMs"] = waits;
    record["teamRates"] = rates;
}

LoadReport decodeLoadReport(const value &record)
{
    LoadReport report;
    if (!record.has_field("writtenMs"))
        return report; // written by an earlier version
    for (const auto &[pool, wait] : record.at("poolWaitMs").as_object())
        report.poolWaits[pool] = Millis(wait.as_number().to_int64());
    for (const auto &[team, rate] : record.at("teamRates").as_object())
        report.teamRates[team] = static_cast<double>(rate.as_number().to_int64()) / kRateFactor;
    report.writtenMs = record.at("writtenMs").as_number().to_int64();
    return report;
}

} // namespace oleanderhall
