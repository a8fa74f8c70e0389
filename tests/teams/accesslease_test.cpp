// Guards against withdrawn keys that still admit calls on a host that is cut off or was paused.
#include "oleanderhall/teams/accesslease.h"

#include <catch2/catch.hpp>

using namespace oleanderhall;

namespace {

constexpr Millis kTimeout{5000};
const Instant kStart{std::chrono::hours(1)};

} // namespace

TEST_CASE("AccessLease_neverConfirmed_admitsNobody", "[teams]")
{
    CHECK_FALSE(AccessLease(kTimeout).isValid(Instant() + Millis(1)));
    CHECK_FALSE(AccessLease(kTimeout).isValid(kStart));
}

TEST_CASE("AccessLease_configurationUnreachable_endsBeforeTheTimeout", "[teams]")
{
    AccessLease lease(kTimeout);
    lease.confirm(kStart);
    CHECK(lease.isValid(kStart + Millis(3000))); // the time for which such a host still serves
    CHECK_FALSE(lease.isValid(kStart + kTimeout));
    CHECK_FALSE(lease.isValid(kStart + Millis(8000))); // a process that was paused
}

TEST_CASE("AccessLease_slowAnswer_countsFromWhenTheReadWasSent", "[teams]")
{
    AccessLease lease(kTimeout);
    lease.confirm(kStart + Millis(1000));
    lease.confirm(kStart); // an answer that arrives out of order
    CHECK(lease.age(kStart + Millis(3000)) == Millis(2000));
}

TEST_CASE("AccessLease_withoutTimeout_neverEnds", "[teams]")
{
    CHECK(AccessLease().isValid(kStart));
}
