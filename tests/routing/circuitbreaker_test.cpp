#include "oleanderhall/routing/circuitbreaker.h"

#include <catch2/catch.hpp>

using namespace oleanderhall;

TEST_CASE("CircuitBreaker: during an outage: lets one request through for each period")
{
    const Instant start{std::chrono::hours(1)};
    CircuitBreaker gate(Millis(500));
    CHECK(gate.allowRequest(start));
    gate.recordFailure(start);
    int tries = 0;
    for (int millis = 0; millis < 5000; ++millis) {
        if (!gate.allowRequest(start + Millis(millis)))
            continue;
        ++tries;
        gate.recordFailure(start + Millis(millis));
    }
    CHECK(tries == 9);
}

TEST_CASE("CircuitBreaker: after a success: lets every request through")
{
    const Instant start{std::chrono::hours(1)};
    CircuitBreaker gate(Millis(500));
    gate.recordFailure(start);
    gate.recordSuccess();
    CHECK(gate.allowRequest(start));
    CHECK(gate.allowRequest(start));
}
