// Guards against caps that are ignored, or that apply too late after a change of configuration.
#include "oleanderhall/teams/teamusage.h"

#include <catch2/catch.hpp>

using namespace oleanderhall;

namespace {

class TeamUsageTest
{
protected:
    void setCap(std::uint64_t version, Resources cap)
    {
        usage.setTeams({version}, {{.id = team, .weight = 1, .maxRunning = cap}}, now);
    }

    const TeamId team{"a"};
    const Resources task{.milliCores = 1000, .memoryMb = 100};
    Instant now{std::chrono::hours(1)};
    TeamUsage usage;
};

} // namespace

TEST_CASE_METHOD(TeamUsageTest, "TeamUsage_oneResourceAtItsCap_admitsNoTaskThatUsesIt", "[teams]")
{
    setCap(1, {.memoryMb = 300});
    usage.addRunning(team, {.milliCores = 64000, .memoryMb = 200});
    CHECK(usage.admits(team, task, 1, now));
    CHECK_FALSE(usage.admits(team, task, 2, now));
    usage.addRunning(team, task);
    CHECK_FALSE(usage.admits(team, task, 1, now));
    CHECK(usage.admits(team, {.milliCores = 1000}, 1, now));
}

TEST_CASE_METHOD(TeamUsageTest, "TeamUsage_earlierOwnerMayHaveStartedTasks_countsThem", "[teams]")
{
    setCap(1, {.milliCores = 2000});
    usage.setPossible({{team, {.milliCores = 2000}}});
    CHECK_FALSE(usage.admits(team, task, 1, now));
    usage.setPossible({});
    CHECK(usage.admits(team, task, 1, now));
}

TEST_CASE_METHOD(TeamUsageTest, "TeamUsage_capIsLowered_appliesAtOnce", "[teams]")
{
    setCap(1, {.milliCores = 4000});
    usage.addRunning(team, {.milliCores = 2000});
    setCap(2, {.milliCores = 2000});
    CHECK_FALSE(usage.admits(team, task, 1, now));
    setCap(1, {.milliCores = 4000}); // an outdated version
    CHECK_FALSE(usage.admits(team, task, 1, now));
}

TEST_CASE_METHOD(TeamUsageTest, "TeamUsage_capIsRaisedOrRemoved_appliesAfterADelay", "[teams]")
{
    setCap(1, {.milliCores = 2000});
    usage.addRunning(team, {.milliCores = 2000});
    setCap(2, {});
    CHECK_FALSE(usage.admits(team, task, 1, now));
    now += Millis(3000);
    CHECK(usage.admits(team, task, 1, now));
}

TEST_CASE_METHOD(TeamUsageTest, "TeamUsage_teamIsRemoved_keepsItsCap", "[teams]")
{
    setCap(1, {.milliCores = 2000});
    usage.addRunning(team, {.milliCores = 2000});
    usage.setTeams({2}, {}, now);
    CHECK_FALSE(usage.admits(team, task, 1, now));
}

TEST_CASE_METHOD(TeamUsageTest, "TeamUsage_taskExceedsTheCapByItself_runsAlone", "[teams]")
{
    setCap(1, {.milliCores = 500});
    CHECK(usage.admits(team, task, 1, now));
    CHECK_FALSE(usage.admits(team, task, 2, now));
    usage.addRunning(team, task);
    CHECK_FALSE(usage.admits(team, task, 1, now));
}
