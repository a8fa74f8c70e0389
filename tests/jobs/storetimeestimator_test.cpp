// Pattern: the table turns slow for some seconds while jobs keep arriving, each with a caller that
// waits 2.2 s and comes back when a refusal says so, at the earliest after a second.
#include "oleanderhall/jobs/storetimeestimator.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <utility>
#include <vector>

using namespace oleanderhall;

namespace {

constexpr int kPatience = 2200; // ms
constexpr int kComeBack = 1000; // ms after a refusal
constexpr int kTries = 4;
constexpr int kArrivalGap = 100; // ms
constexpr int kSlowFrom = 2000; // ms
constexpr int kSlowUntil = 7000; // ms
constexpr int kSlowTime = 3000; // ms of a transaction meanwhile
constexpr int kUsualTime = 5; // ms
constexpr int kEnd = 14000; // ms

struct Outcome
{
    int stored = 0; ///< While a caller waited.
    int heldInVain = 0; ///< Ms that callers waited for nothing.
};

/// Plays the pattern; `refusesEarly` refuses what can't be stored in time.
Outcome play(bool refusesEarly)
{
    struct Caller
    {
        int from = 0;
        int triesLeft = kTries;
    };
    const auto at = [](int ms) { return Instant(std::chrono::hours(1)) + Millis(ms); };
    StoreTimeEstimator time;
    Outcome outcome;
    std::deque<Caller> arriving;
    for (int now = 0; now < kEnd - 4000; now += kArrivalGap)
        arriving.push_back({now});
    std::vector<Caller> queue;
    std::vector<Caller> inFlight;
    int ends = -1;
    const auto refuse = [&](Caller caller, int now) {
        outcome.heldInVain += now - caller.from;
        const int expected = refusesEarly ? static_cast<int>(time.estimate(at(now)).count()) : 0;
        if (--caller.triesLeft > 0)
            arriving.push_back({now + std::max(kComeBack, expected), caller.triesLeft});
    };
    for (int now = 0; now < kEnd; ++now) {
        if (ends == now) {
            time.onCompleted(at(now));
            for (const Caller &caller : inFlight)
                outcome.stored += now - caller.from <= kPatience ? 1 : 0;
            for (const Caller &caller : inFlight) {
                if (now - caller.from > kPatience)
                    outcome.heldInVain += kPatience; // its outcome is not known to the caller
            }
            inFlight.clear();
            ends = -1;
        }
        for (std::size_t left = arriving.size(); left > 0; --left) {
            const Caller caller = arriving.front();
            arriving.pop_front();
            if (caller.from > now)
                arriving.push_back(caller);
            else if (refusesEarly && time.estimate(at(now)) > Millis(kPatience))
                refuse(caller, now);
            else
                queue.push_back(caller);
        }
        std::vector<Caller> waiting;
        for (const Caller &caller : queue) {
            if (now - caller.from >= kPatience)
                refuse(caller, now);
            else
                waiting.push_back(caller);
        }
        queue = std::move(waiting);
        if (ends < 0 && !queue.empty()) {
            inFlight = std::exchange(queue, {});
            time.onSent(at(now));
            const bool isSlow = now >= kSlowFrom && now < kSlowUntil;
            ends = now + (isSlow ? kSlowTime : kUsualTime);
        }
    }
    return outcome;
}

class StoreTimeTest
{
protected:
    Instant now{std::chrono::hours(1)};
    StoreTimeEstimator time;
};

} // namespace

TEST_CASE("StoreTime_slowTable_callersAreNotHeldInVain", "[jobs]")
{
    const Outcome early = play(true);
    const Outcome late = play(false);
    INFO("stored " << early.stored << " and " << late.stored << ", held in vain "
                   << early.heldInVain << " ms and " << late.heldInVain << " ms");
    CHECK(early.stored >= late.stored);
    CHECK(early.heldInVain < late.heldInVain);
}

TEST_CASE_METHOD(StoreTimeTest, "StoreTime_nothingInFlight_expectsNoWait", "[jobs]")
{
    time.onSent(now);
    time.onCompleted(now + Millis(3000));
    CHECK(time.estimate(now + Millis(3000)) == Millis(0));
}

TEST_CASE_METHOD(StoreTimeTest, "StoreTime_inFlight_expectsTheRestAndOneMore", "[jobs]")
{
    time.onSent(now);
    time.onCompleted(now + Millis(400));
    time.onSent(now + Millis(400));
    CHECK(time.estimate(now + Millis(500)) == Millis(700));
}

TEST_CASE_METHOD(StoreTimeTest, "StoreTime_inFlightLongerThanTheLast_expectsAsLongAgain", "[jobs]")
{
    time.onSent(now);
    CHECK(time.estimate(now + Millis(1500)) == Millis(1500));
}
