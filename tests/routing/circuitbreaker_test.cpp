#include "oleanderhall/routing/circuitbreaker.h"

#include <catch2/catch.hpp>

using namespace oleanderhall;

TEST_CASE("CircuitBreaker: during an outage: lets one request through for each period")
{
    const Instant start{std::chrono::hours(1)};
    CircuitBreaker breaker(Millis(500));
    CHECK(breaker.allowRequest(start));
    breaker.recordFailure(start);
    int probes = 0;
    for (int millis = 0; millis < 5000; ++millis) {
        if (!breaker.allowRequest(start + Millis(millis)))
            continue;
        ++probes;
        breaker.recordFailure(start + Millis(millis));
    }
    CHECK(probes == 9);
}

TEST_CASE("CircuitBreaker: after a success: lets every request through")
{
    const Instant start{std::chrono::hours(1)};
    CircuitBreaker breaker(Millis(500));
    breaker.recordFailure(start);
    breaker.recordSuccess();
    CHECK(breaker.allowRequest(start));
    CHECK(breaker.allowRequest(start));
}
