#include "../../src/node/teamreport.h"

#include "../../src/daemon/metrics.h"

#include <catch2/catch.hpp>

using namespace oleanderhall;

TEST_CASE("TeamReport_teams_areMetricsWithALabel", "[teams][metrics]")
{
    Metrics metrics;
    TeamReport report(metrics);
    const Instant now{std::chrono::hours(1)};
    report.report({{.team = TeamId("a"), .running = {.milliCores = 3000}},
                   {.team = TeamId("b\"\n"), .waitingJobs = 2}},
                  now);
    CHECK_FALSE(report.isDue(now));
    const std::string text = metrics.text();
    CHECK(text.find("oleanderhall_team_running_millicores{team=\"a\"} 3000\n")
          != std::string::npos);
    CHECK(text.find("oleanderhall_team_waiting_jobs{team=\"b__\"} 2\n") != std::string::npos);
    const std::string type = "# TYPE oleanderhall_team_running_millicores gauge\n";
    REQUIRE(text.find(type) != std::string::npos);
    CHECK(text.find(type, text.find(type) + 1) == std::string::npos);
}

TEST_CASE("TeamReport_waitingTeam_namesTheReason", "[teams]")
{
    const Resources some{.milliCores = 1};
    CHECK(waitReasonOf({.waitingJobs = 2, .isAtCap = true}) == std::string("cap"));
    CHECK(waitReasonOf({.possiblyRunning = some, .waitingJobs = 2, .isAtCap = true})
          == std::string("inherited_tasks"));
    CHECK(waitReasonOf({.waitingJobs = 2, .overRateJobs = 2}) == std::string("rate"));
    CHECK(waitReasonOf({.waitingJobs = 2, .overRateJobs = 1}) == std::string("share"));
}
