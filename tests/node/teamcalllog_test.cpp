// Guards against metrics and log lines that grow with the number of teams or of calls.
#include "../../src/node/teamcalllog.h"

#include <catch2/catch.hpp>

#include <set>

using namespace oleanderhall;

namespace {

class TeamCallLogTest
{
protected:
    Instant now{std::chrono::hours(1)};
    TeamCallLog log;
};

} // namespace

TEST_CASE_METHOD(TeamCallLogTest, "TeamCallLog_manyTeams_namesOnlySome", "[node]")
{
    std::set<std::string> labels;
    for (int index = 0; index < 1000; ++index)
        labels.insert(log.record(TeamId("t" + std::to_string(index)), "accepted"));
    CHECK(labels.size() == TeamCallLog::kMaxNames + 1);
}

TEST_CASE_METHOD(TeamCallLogTest, "TeamCallLog_manyRefusals_returnsOneLineASecond", "[node]")
{
    log.record(TeamId("a"), "accepted");
    CHECK_FALSE(log.takeLine(now));
    log.record(TeamId("a"), "team_over_rate");
    log.record(TeamId("b"), "team_over_rate");
    CHECK(log.takeLine(now) == "a:accepted=1,a:team_over_rate=1,b:team_over_rate=1");
    log.record(TeamId("b"), "team_over_rate");
    CHECK_FALSE(log.takeLine(now + Millis(900)));
    CHECK(log.takeLine(now + Millis(1000)) == "b:team_over_rate=1");
}

TEST_CASE_METHOD(TeamCallLogTest, "TeamCallLog_nameWithQuotes_isEscaped", "[node]")
{
    CHECK(log.record(TeamId("a\"b\\"), "accepted") == R"(team="a\"b\\",outcome="accepted")");
}
