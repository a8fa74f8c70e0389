// Guards against callers that wait until their time limit for a job that can't be stored in time.
// In the simulation the table is slow for 5 s while jobs keep arriving. Each caller waits up to
// 2.2 s. After a rejection it retries after the expected store time, but not before 1 s has passed.
#include "oleanderhall/jobs/storetimeestimator.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <utility>
#include <vector>

using namespace oleanderhall;

namespace {

constexpr int kCallerTimeoutMs = 2200;
constexpr int kMinRetryDelayMs = 1000; // after a rejection
constexpr int kMaxAttempts = 4;
constexpr int kArrivalIntervalMs = 100;
constexpr int kSlowFromMs = 2000;
constexpr int kSlowUntilMs = 7000;
constexpr int kSlowTransactionMs = 3000;
constexpr int kUsualTransactionMs = 5;
constexpr int kEndMs = 14000;

struct Outcome
{
    int stored = 0; ///< Jobs that were stored within their caller's time limit.
    int wastedWaitMs = 0; ///< Total wait of callers whose job was not stored in time.
};

/// Runs the simulation. With `rejectsEarly`, jobs that are not expected to be stored in time are
/// rejected at once.
Outcome simulate(bool rejectsEarly)
{
    struct Caller
    {
        int arrival = 0;
        int attemptsLeft = kMaxAttempts;
    };
    const auto at = [](int ms) { return Instant(std::chrono::hours(1)) + Millis(ms); };
    StoreTimeEstimator estimator;
    Outcome outcome;
    std::deque<Caller> arriving;
    for (int now = 0; now < kEndMs - 4000; now += kArrivalIntervalMs)
        arriving.push_back({now});
    std::vector<Caller> queue;
    std::vector<Caller> inFlight;
    int endsAt = -1;
    const auto reject = [&](Caller caller, int now) {
        outcome.wastedWaitMs += now - caller.arrival;
        const int expected = rejectsEarly ? static_cast<int>(estimator.estimate(at(now)).count())
                                          : 0;
        if (--caller.attemptsLeft > 0)
            arriving.push_back({now + std::max(kMinRetryDelayMs, expected), caller.attemptsLeft});
    };
    for (int now = 0; now < kEndMs; ++now) {
        if (endsAt == now) {
            estimator.onCompleted(at(now));
            for (const Caller &caller : inFlight)
                outcome.stored += now - caller.arrival <= kCallerTimeoutMs ? 1 : 0;
            for (const Caller &caller : inFlight) {
                if (now - caller.arrival > kCallerTimeoutMs)
                    outcome.wastedWaitMs += kCallerTimeoutMs; // the caller doesn't learn the result
            }
            inFlight.clear();
            endsAt = -1;
        }
        for (std::size_t left = arriving.size(); left > 0; --left) {
            const Caller caller = arriving.front();
            arriving.pop_front();
            if (caller.arrival > now)
                arriving.push_back(caller);
            else if (rejectsEarly && estimator.estimate(at(now)) > Millis(kCallerTimeoutMs))
                reject(caller, now);
            else
                queue.push_back(caller);
        }
        std::vector<Caller> waiting;
        for (const Caller &caller : queue) {
            if (now - caller.arrival >= kCallerTimeoutMs)
                reject(caller, now);
            else
                waiting.push_back(caller);
        }
        queue = std::move(waiting);
        if (endsAt < 0 && !queue.empty()) {
            inFlight = std::exchange(queue, {});
            estimator.onSent(at(now));
            const bool isSlow = now >= kSlowFromMs && now < kSlowUntilMs;
            endsAt = now + (isSlow ? kSlowTransactionMs : kUsualTransactionMs);
        }
    }
    return outcome;
}

class StoreTimeEstimatorTest
{
protected:
    Instant now{std::chrono::hours(1)};
    StoreTimeEstimator estimator;
};

} // namespace

TEST_CASE("StoreTimeEstimator_slowTable_callersDoNotWaitInVain", "[jobs]")
{
    const Outcome early = simulate(true);
    const Outcome late = simulate(false);
    INFO("stored " << early.stored << " and " << late.stored << ", wasted wait "
                   << early.wastedWaitMs << " ms and " << late.wastedWaitMs << " ms");
    CHECK(early.stored >= late.stored);
    CHECK(early.wastedWaitMs < late.wastedWaitMs);
}

TEST_CASE_METHOD(StoreTimeEstimatorTest, "StoreTimeEstimator_nothingInFlight_expectsNoWait",
                 "[jobs]")
{
    estimator.onSent(now);
    estimator.onCompleted(now + Millis(3000));
    CHECK(estimator.estimate(now + Millis(3000)) == Millis(0));
}

TEST_CASE_METHOD(StoreTimeEstimatorTest, "StoreTimeEstimator_inFlight_expectsTheRestAndOneMore",
                 "[jobs]")
{
    estimator.onSent(now);
    estimator.onCompleted(now + Millis(400));
    estimator.onSent(now + Millis(400));
    CHECK(estimator.estimate(now + Millis(500)) == Millis(700));
}

TEST_CASE_METHOD(StoreTimeEstimatorTest,
                 "StoreTimeEstimator_inFlightLongerThanTheLast_expectsAsLongAgain", "[jobs]")
{
    estimator.onSent(now);
    CHECK(estimator.estimate(now + Millis(1500)) == Millis(1500));
}
