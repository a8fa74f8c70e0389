#include "oleanderhall/maintenance/workerendverifier.h"

#include <catch2/catch.hpp>

using namespace oleanderhall;

namespace {

class WorkerEndVerifierTest
{
protected:
    WorkerEndVerifierTest() { verifier.commandDone(host, worker, now); }

    std::vector<WorkerEndVerifier::Verdict> verify(HostInfo::State state, WorkerId listed)
    {
        return verifier.verify({{.id = host, .state = state, .worker = listed}}, now + Millis(1));
    }

    const HostId host{"h"};
    const WorkerId worker{"w"};
    Instant now{std::chrono::hours(1)};
    WorkerEndVerifier verifier;
};

} // namespace

TEST_CASE_METHOD(WorkerEndVerifierTest,
                 "WorkerEndVerifier_commandWasDoneBefore_workerIsStillRunning", "[hosts]")
{
    // Guards against tasks that run twice: an owner was killed after it had a host maintained and
    // before it recorded this. The next owner repeated the command, which was reported as done, and
    // started the tasks of the host's new worker process elsewhere while they were still running
    // (seed 212759907481).
    const auto verdicts = verify(HostInfo::State::Ready, worker);
    REQUIRE(verdicts.size() == 1);
    CHECK(verdicts[0].worker == worker);
    CHECK_FALSE(verdicts[0].hasEnded);
}

TEST_CASE_METHOD(WorkerEndVerifierTest, "WorkerEndVerifier_hostInMaintenance_workerHasEnded",
                 "[hosts]")
{
    const auto verdicts = verify(HostInfo::State::Maintenance, {});
    REQUIRE(verdicts.size() == 1);
    CHECK(verdicts[0].hasEnded);
}

TEST_CASE_METHOD(WorkerEndVerifierTest, "WorkerEndVerifier_hostHasAnotherWorker_workerHasEnded",
                 "[hosts]")
{
    const auto verdicts = verify(HostInfo::State::Ready, WorkerId("w-next"));
    REQUIRE(verdicts.size() == 1);
    CHECK(verdicts[0].hasEnded);
}

TEST_CASE_METHOD(WorkerEndVerifierTest, "WorkerEndVerifier_hostNotListedAnyMore_workerHasEnded",
                 "[hosts]")
{
    const auto verdicts = verifier.verify({}, now + Millis(1));
    REQUIRE(verdicts.size() == 1);
    CHECK(verdicts[0].hasEnded);
}

TEST_CASE_METHOD(WorkerEndVerifierTest,
                 "WorkerEndVerifier_listRequestedBeforeTheAnswer_tellsNothing", "[hosts]")
{
    CHECK(verifier.verify({{.id = host, .state = HostInfo::State::Ready, .worker = worker}}, now)
              .empty());
    CHECK(verify(HostInfo::State::Maintenance, {}).size() == 1);
}

TEST_CASE_METHOD(WorkerEndVerifierTest, "WorkerEndVerifier_verifiedOnce_isRemoved", "[hosts]")
{
    verify(HostInfo::State::Maintenance, {});
    CHECK(verify(HostInfo::State::Ready, worker).empty());
}
