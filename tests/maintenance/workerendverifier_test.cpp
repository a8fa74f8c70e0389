#include "oleanderhall/maintenance/workerendverifier.h"

#include <catch2/catch.hpp>

using namespace oleanderhall;

namespace {

class OrderedLivesTest
{
protected:
    OrderedLivesTest() { lives.commandDone(host, worker, now); }

    std::vector<WorkerEndVerifier::Verdict> judge(HostInfo::State state, WorkerId listed)
    {
        return lives.verify({{.id = host, .state = state, .worker = listed}}, now + Millis(1));
    }

    const HostId host{"h"};
    const WorkerId worker{"w"};
    Instant now{std::chrono::hours(1)};
    WorkerEndVerifier lives;
};

} // namespace

TEST_CASE_METHOD(OrderedLivesTest, "OrderedLives_orderWasDoneBefore_workerGoesOn", "[hosts]")
{
    // The host had its maintenance under an owner that was killed before it recorded so; the next
    // owner gave the order again, was told that it is done, and started the worker's tasks
    // elsewhere while they ran on (TWICE, cal grown owner-lost-twice seed 212759907481).
    const auto verdicts = judge(HostInfo::State::Up, worker);
    REQUIRE(verdicts.size() == 1);
    CHECK(verdicts[0].worker == worker);
    CHECK_FALSE(verdicts[0].hasEnded);
}

TEST_CASE_METHOD(OrderedLivesTest, "OrderedLives_hostInMaintenance_workerHasEnded", "[hosts]")
{
    const auto verdicts = judge(HostInfo::State::Maintenance, {});
    REQUIRE(verdicts.size() == 1);
    CHECK(verdicts[0].hasEnded);
}

TEST_CASE_METHOD(OrderedLivesTest, "OrderedLives_hostHasAnotherWorker_workerHasEnded", "[hosts]")
{
    const auto verdicts = judge(HostInfo::State::Up, WorkerId("w-next"));
    REQUIRE(verdicts.size() == 1);
    CHECK(verdicts[0].hasEnded);
}

TEST_CASE_METHOD(OrderedLivesTest, "OrderedLives_hostNotListedAnyMore_workerHasEnded", "[hosts]")
{
    const auto verdicts = lives.verify({}, now + Millis(1));
    REQUIRE(verdicts.size() == 1);
    CHECK(verdicts[0].hasEnded);
}

TEST_CASE_METHOD(OrderedLivesTest, "OrderedLives_listAskedForBeforeTheAnswer_tellsNothing",
                 "[hosts]")
{
    CHECK(
        lives.verify({{.id = host, .state = HostInfo::State::Up, .worker = worker}}, now).empty());
    CHECK(judge(HostInfo::State::Maintenance, {}).size() == 1);
}

TEST_CASE_METHOD(OrderedLivesTest, "OrderedLives_judgedOnce_isForgotten", "[hosts]")
{
    judge(HostInfo::State::Maintenance, {});
    CHECK(judge(HostInfo::State::Up, worker).empty());
}
