// Guards against a team whose flood costs other teams their jobs or their time, against refusals
// while there is room, and against refused callers that return together.
#include "../support/admissionworld.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace oleanderhall;
using namespace oleanderhall::test;

namespace {

const TeamId kTeam("team");

class AdmissionPolicyTest
{
protected:
    /// Returns how many of `calls` are accepted, `perSecond` of them a second.
    int accepted(int calls, double perSecond, const AdmissionPolicy::Inputs &load)
    {
        int result = 0;
        for (int call = 0; call < calls; ++call) {
            now += std::chrono::duration_cast<Instant::duration>(
                std::chrono::duration<double>(1 / perSecond));
            result += policy.decide(kTeam, load, now).isAccepted ? 1 : 0;
        }
        return result;
    }

    Instant now{std::chrono::hours(1)};
    AdmissionPolicy policy{Millis(5000)};
};

std::string text(const AdmissionWorld::Team &team)
{
    return team.id.name() + ": " + std::to_string(team.calls) + " calls, "
        + std::to_string(team.refusals) + " refusals, " + std::to_string(team.givenUp)
        + " given up, " + std::to_string(team.waits.size()) + " started, "
        + std::to_string(AdmissionWorld::shareWithin(team, Millis(1000))) + " within 1 s";
}

} // namespace

TEST_CASE_METHOD(AdmissionPolicyTest, "AdmissionPolicy_unknownLoad_refusesNothing", "[teams]")
{
    CHECK(accepted(100, 50, {.weight = 1, .acceptedRate = 90, .isRoomShort = true}) == 100);
}

TEST_CASE_METHOD(AdmissionPolicyTest, "AdmissionPolicy_overRateWithRoom_acceptsAndMarksTheExcess",
                 "[teams]")
{
    const AdmissionPolicy::Inputs load{.weight = 10, .acceptedRate = 40, .isKnown = true};
    CHECK(accepted(200, 40, load) == 200);
    int excess = 0;
    for (int call = 0; call < 40; ++call)
        excess += policy.decide(kTeam, load, now).isOverRate ? 1 : 0;
    CHECK(excess >= 29);
    CHECK(excess <= 31);
}

TEST_CASE_METHOD(AdmissionPolicyTest, "AdmissionPolicy_withinRateAndNoRoom_refusesNothing",
                 "[teams]")
{
    const AdmissionPolicy::Inputs load{
        .weight = 10, .acceptedRate = 9.5, .isRoomShort = true, .isKnown = true};
    CHECK(accepted(100, 9.5, load) == 100);
}

TEST_CASE_METHOD(AdmissionPolicyTest, "AdmissionPolicy_weightOfZero_isServedOnlyWhereThereIsRoom",
                 "[teams]")
{
    CHECK(accepted(20, 10, {.isKnown = true}) == 20);
    CHECK(accepted(20, 10, {.isRoomShort = true, .isKnown = true}) == 0);
}

TEST_CASE_METHOD(AdmissionPolicyTest, "AdmissionPolicy_refusal_namesTheTurnWithinItsBounds",
                 "[teams]")
{
    const AdmissionPolicy::Inputs load{.isRoomShort = true, .isKnown = true};
    for (int call = 0; call < 100; ++call) {
        const Millis wait = policy.decide(kTeam, load, now).retryAfter;
        CHECK(wait >= Millis(500));
        CHECK(wait <= Millis(9000));
    }
}

TEST_CASE("AdmissionPolicy_floodInAnotherTeamsBurst_costsTheOtherTeamNothing", "[teams]")
{
    AdmissionWorld world(37, 100);
    world.teams = {{.id = TeamId("flood"), .weight = 40, .callsPerSecond = 30},
                   {.id = TeamId("burst"), .weight = 40, .callsPerSecond = 10},
                   {.id = TeamId("calm"), .weight = 20, .callsPerSecond = 15}};
    world.run(Millis(10000));
    world.teams[0].callsPerSecond = 200;
    world.run(Millis(4000));
    world.teams[1].callsPerSecond = 40;
    world.run(Millis(4000));
    world.teams[1].callsPerSecond = 2;
    world.run(Millis(4000));
    world.teams[0].callsPerSecond = 30;
    const int idleBefore = world.idleStarts;
    world.run(Millis(5000));
    INFO(text(world.teams[0]) << "\n" << text(world.teams[1]) << "\n" << text(world.teams[2]));
    CHECK(world.teams[1].refusals <= world.teams[1].calls / 20);
    CHECK(world.teams[2].refusals == 0);
    CHECK(AdmissionWorld::shareWithin(world.teams[1], Millis(1000)) > 0.95);
    CHECK(AdmissionWorld::shareWithin(world.teams[2], Millis(1000)) > 0.95);
    CHECK(world.teams[0].refusals > 0);
    // Guards against a limit that is kept after the flood has ended.
    INFO("idle " << world.idleStarts - idleBefore);
    CHECK(idleBefore < 20 * 100 / 2);
}

TEST_CASE("AdmissionPolicy_callersReturnAfterARefusal_comeSpreadOut", "[teams]")
{
    AdmissionWorld world(20, 50);
    world.teams = {{.id = TeamId("flood"), .weight = 40, .callsPerSecond = 240}};
    world.run(Millis(3000));
    world.teams[0].callsPerSecond = 0;
    world.run(Millis(20000));
    int most = 0;
    int total = 0;
    for (const auto &[time, returns] : world.returnsPer250Ms) {
        most = std::max(most, returns);
        total += returns;
    }
    INFO(text(world.teams[0]) << "; " << total << " returns, at most " << most << " in 250 ms");
    CHECK(total > 100);
    CHECK(most <= 240 / 4);
    CHECK(world.teams[0].givenUp <= world.teams[0].calls / 5);
}

TEST_CASE("AdmissionPolicy_twentyTeamsOfSkewedSizes_smallOnesAreNotRefused", "[teams]")
{
    AdmissionWorld world(37, 200);
    for (int index = 1; index <= 20; ++index) {
        const double size = 60.0 / index;
        // The three largest send four times their weight, the others a little less than theirs.
        world.teams.push_back({.id = TeamId("team-" + std::to_string(index)),
                               .weight = size,
                               .callsPerSecond = size * (index <= 3 ? 4 : 0.75)});
    }
    world.run(Millis(20000));
    std::string all;
    int refusals = 0;
    int calls = 0;
    for (std::size_t index = 0; index < world.teams.size(); ++index) {
        all += text(world.teams[index]) + "\n";
        refusals += index >= 3 ? world.teams[index].refusals : 0;
        calls += index >= 3 ? world.teams[index].calls : 0;
        if (index >= 3)
            CHECK(AdmissionWorld::shareWithin(world.teams[index], Millis(1000)) > 0.9);
        else
            CHECK(world.teams[index].waits.size() > 20 * 0.7 * world.teams[index].weight);
    }
    INFO(all << "idle " << world.idleStarts);
    CHECK(refusals <= calls / 50);
    CHECK(world.idleStarts <= 20 * 200 / 20);
}

TEST_CASE("AdmissionPolicy_anySteadyFlood_isHeldNearTheWeight", "[teams]")
{
    CHECK(rc::check("accepted jobs a second stay near the weight", [] {
        const int hosts = *rc::gen::inRange(1, 40);
        const double weight = *rc::gen::inRange(2, 60);
        const double flood = weight * *rc::gen::inRange(3, 8);
        AdmissionWorld world(hosts, weight);
        world.teams = {{.id = TeamId("flood"), .weight = weight, .callsPerSecond = flood}};
        world.run(Millis(10000));
        const AdmissionWorld::Team &team = world.teams.front();
        const int before = team.calls + team.retries - team.refusals;
        world.run(Millis(10000));
        const double accepted = (team.calls + team.retries - team.refusals - before) / 10.0;
        RC_LOG() << hosts << " hosts, weight " << weight << ", accepted " << accepted;
        RC_ASSERT(accepted >= 0.7 * weight);
        RC_ASSERT(accepted <= 2 * weight + 1);
    }));
}
