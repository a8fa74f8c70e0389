#include "oleanderhall/routing/retrybudget.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

using namespace oleanderhall;

TEST_CASE("RetryBudget: any traffic: at most a tenth of retries in each minute")
{
    rc::prop("retries * 10 <= first attempts", [] {
        RetryBudget budget(10);
        const Instant start{std::chrono::hours(1)};
        int firstAttempts = 0;
        int retries = 0;
        const int calls = *rc::gen::inRange(0, 2000);
        for (int call = 0; call < calls; ++call) {
            const Instant now = start + Millis(call);
            if (*rc::gen::inRange(0, 3) > 0) {
                budget.countFirstAttempt(now);
                ++firstAttempts;
            } else if (budget.tryAcquire(now)) {
                ++retries;
            }
            RC_ASSERT(retries * 10 <= firstAttempts);
        }
    });
}

TEST_CASE("RetryBudget: a new minute: starts without what was left")
{
    RetryBudget budget(10);
    const Instant start{std::chrono::hours(1)};
    for (int call = 0; call < 100; ++call)
        budget.countFirstAttempt(start);
    CHECK(budget.tryAcquire(start));
    CHECK_FALSE(budget.tryAcquire(start + std::chrono::minutes(1)));
}
