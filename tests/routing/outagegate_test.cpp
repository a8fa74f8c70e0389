#include "oleanderhall/routing/outagegate.h"

#include <catch2/catch.hpp>

using namespace oleanderhall;

TEST_CASE("OutageGate: during an outage: lets one request through for each period")
{
    const Instant start{std::chrono::hours(1)};
    OutageGate gate(Millis(500));
    CHECK(gate.mayTry(start));
    gate.failed(start);
    int tries = 0;
    for (int millis = 0; millis < 5000; ++millis) {
        if (!gate.mayTry(start + Millis(millis)))
            continue;
        ++tries;
        gate.failed(start + Millis(millis));
    }
    CHECK(tries == 9);
}

TEST_CASE("OutageGate: after a success: lets every request through")
{
    const Instant start{std::chrono::hours(1)};
    OutageGate gate(Millis(500));
    gate.failed(start);
    gate.succeeded();
    CHECK(gate.mayTry(start));
    CHECK(gate.mayTry(start));
}
