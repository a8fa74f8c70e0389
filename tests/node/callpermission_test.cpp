// What an owner still sends after it was paused around a renewal of its lease.
#include "../../src/node/callpermission.h"

#include "../support/fakeupstream.h"

#include "oleanderhall/core/clock.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace oleanderhall;
using Kind = platform::WorkerClient::CallKind;

namespace {

class CallPermissionTest
{
protected:
    CallPermissionTest()
    {
        ownership.onRecordsRead({}, 0, now);
        REQUIRE(ownership.nextStep(now) == Ownership::Step::TakeOver);
        ownership.onTakeOverResult(true, 1, now, now);
        gate.onCancellationsRead(now);
    }

    CallPermission at(Kind kind, Millis time) const
    {
        return callPermission(kind, ownership, gate, now + time);
    }

    const Instant now = monotonicNow();
    Ownership ownership{"self", {}, now - Millis(1)};
    StartGate gate{Millis(4000)};
};

} // namespace

TEST_CASE_METHOD(CallPermissionTest, "CallPermission_pausedFor1To8Seconds_deniesOnAnExpiredLease",
                 "[node]")
{
    // The lease ends 1.75 s after its renewal; leases of runs may be extended for 3.5 s.
    for (int seconds = 1; seconds <= 8; ++seconds) {
        const Millis pause = Millis(1000) * seconds;
        CHECK((at(Kind::Start, pause) == CallPermission::Granted) == (seconds < 2));
        CHECK((at(Kind::OtherCommand, pause) == CallPermission::Granted) == (seconds < 2));
        CHECK((at(Kind::Poll, pause) == CallPermission::Granted) == (seconds < 4));
    }
}

TEST_CASE_METHOD(CallPermissionTest, "CallPermission_oldFacts_deniesOnlyStarts", "[node]")
{
    ownership.nextStep(now + Millis(3000));
    ownership.onRenewResult(true, false, 2, now + Millis(3000), now + Millis(3100));
    CHECK(at(Kind::Start, Millis(3300)) == CallPermission::FactsTooOld);
    CHECK(at(Kind::OtherCommand, Millis(3300)) == CallPermission::Granted);
    CHECK(at(Kind::Poll, Millis(3300)) == CallPermission::Granted);
}

TEST_CASE_METHOD(CallPermissionTest, "CallPermission_processPausedBeforeWriting_sendsNothing",
                 "[node]")
{
    // Guards against commands that were decided 100 ms before the end of the lease and written
    // after it, as their own time limit had not passed.
    test::FakeUpstream worker(
        [](test::FakeUpstream::Socket &, const std::string &, int) { return true; });
    boost::asio::io_context io{1};
    Metrics metrics;
    platform::WorkerClient client(io, metrics, 1);
    client.setPermission([this](Kind kind) {
        return callPermission(kind, ownership, gate, monotonicNow()) == CallPermission::Granted;
    });
    const std::string address = "127.0.0.1:" + std::to_string(worker.port());
    int withheld = 0;
    const auto count = [&](CallResult result) { withheld += result == CallResult::Withheld; };
    std::this_thread::sleep_until(now + Millis(1650));
    client.start(address, {.worker = WorkerId("w")}, count);
    client.stop(address, {.worker = WorkerId("w")}, count);
    std::this_thread::sleep_until(now + Millis(1900)); // the process is paused
    io.run();
    CHECK(withheld == 2);
    CHECK(worker.requestCount() == 0);
}
