#include "oleanderhall/teams/teamratelimiter.h"

#include <catch2/catch.hpp>

using namespace oleanderhall;

TEST_CASE("TeamRateLimiter_teamSendsTwiceItsRate_halfOfItsJobsExceedIt", "[teams]")
{
    // Guards against a limiter that counts rejected jobs, so that a flood keeps the team from its
    // own rate.
    TeamRateLimiter limiter(Millis(5000));
    int within = 0;
    for (int job = 0; job < 400; ++job)
        within += limiter.isOverRate(TeamId("a"), 10, job * 50) ? 0 : 1;
    CHECK(within == 200);
}

TEST_CASE("TeamRateLimiter_otherTeamFloods_teamKeepsItsRate", "[teams]")
{
    TeamRateLimiter limiter(Millis(5000));
    for (int job = 0; job < 100; ++job)
        limiter.isOverRate(TeamId("a"), 10, 0);
    CHECK(limiter.isOverRate(TeamId("a"), 10, 0));
    CHECK_FALSE(limiter.isOverRate(TeamId("b"), 10, 0));
    CHECK_FALSE(limiter.isOverRate(TeamId(), 10, 0));
    CHECK_FALSE(limiter.isOverRate(TeamId("c"), 0, 0));
}
