#include "oleanderhall/ownership/candidate.h"
#include "oleanderhall/ownership/eventlooplag.h"

#include <catch2/catch.hpp>

using namespace oleanderhall;

namespace {

class EventLoopLagTest
{
protected:
    void record(Millis delay, int count = 1)
    {
        const Instant due{std::chrono::hours(1)};
        for (int index = 0; index < count; ++index)
            lag.record(due, due + delay);
    }
    bool isBehind() const { return Candidate{1, lag.average()}.isBehind(); }

    EventLoopLag lag;
};

} // namespace

TEST_CASE_METHOD(EventLoopLagTest, "EventLoopLag_processPausedOnce_isNotBehind", "[ownership]")
{
    // Guards against a hand-over because of one pause, which says nothing about the next seconds.
    record(Millis(2), 20);
    record(Millis(8000));
    CHECK_FALSE(isBehind());
}

TEST_CASE_METHOD(EventLoopLagTest, "EventLoopLag_everyTimerLate_isBehindUntilItCatchesUp",
                 "[ownership]")
{
    record(Millis(200), 20);
    CHECK(isBehind());
    CHECK(lag.average() == Millis(200));
    record(Millis(5), 20);
    CHECK_FALSE(isBehind());
}

TEST_CASE_METHOD(EventLoopLagTest, "EventLoopLag_timersSecondsLate_isBehindAfterAFew",
                 "[ownership]")
{
    record(Millis(2), 20);
    record(Millis(3000), 4);
    CHECK(isBehind());
}
