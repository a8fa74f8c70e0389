#include "oleanderhall/routing/servicerouter.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

using namespace oleanderhall;

namespace {

class ServiceRouterTest
{
protected:
    Instant now{std::chrono::hours(1)};
    ServiceRule rule{.id = ServiceId("s"), .pool = PoolId("p"), .slots = 4};

    ServiceRouter routerWith(int local, int remote, std::size_t maxWaiting = 4)
    {
        ServiceRouter router(rule, {.zone = ZoneId("here"), .maxWaiting = maxWaiting});
        std::vector<Endpoint> endpoints;
        for (int index = 0; index < local + remote; ++index) {
            endpoints.push_back({HostId("h" + std::to_string(index)),
                                 ZoneId(index < local ? "here" : "there"),
                                 {1},
                                 "127.0.0.1",
                                 1});
        }
        router.setEndpoints(endpoints, now);
        return router;
    }

    SlotRequest requestBy(Millis timeout) const { return {.deadline = now + timeout}; }
};

} // namespace

TEST_CASE_METHOD(ServiceRouterTest, "ServiceRouter: free slots in the own zone: are used first")
{
    ServiceRouter router = routerWith(1, 3);
    for (int count = 0; count < 4; ++count) {
        const Admission admission = router.admit(requestBy(Millis(1000)), now);
        CHECK(std::get<SlotGrant>(admission).endpoint.zone == ZoneId("here"));
    }
    const Admission spilled = router.admit(requestBy(Millis(1000)), now);
    CHECK(std::get<SlotGrant>(spilled).endpoint.zone == ZoneId("there"));
}

TEST_CASE_METHOD(ServiceRouterTest, "ServiceRouter: a lapsed view: other zones are not used")
{
    ServiceRouter router = routerWith(0, 3);
    SlotRequest request = requestBy(Millis(1000));
    request.viewIsFresh = false;
    const Admission admission = router.admit(request, now);
    CHECK(std::get<Refusal>(admission).reason == RefusalReason::NoUpstream);
}

TEST_CASE_METHOD(ServiceRouterTest,
                 "ServiceRouter: cut off before its zone's instances were ready: they are tried")
{
    // A zone is partitioned from the fleet just after its instances became ready, so the last view
    // of its entry host still lists them as starting.
    ServiceRouter router(rule, {.zone = ZoneId("here")});
    const Endpoint local{HostId("h1"), ZoneId("here"), {1}, "127.0.0.1", 1};
    const Endpoint remote{HostId("h2"), ZoneId("there"), {1}, "127.0.0.1", 1};
    router.setEndpoints({remote}, now, {local});
    SlotRequest request = requestBy(Millis(1000));
    request.viewIsFresh = false;
    const Admission admission = router.admit(request, now);
    REQUIRE(std::holds_alternative<SlotGrant>(admission));
    CHECK(std::get<SlotGrant>(admission).endpoint == local);
}

TEST_CASE_METHOD(ServiceRouterTest, "ServiceRouter: a fresh view: starting instances are not used")
{
    ServiceRouter router(rule, {.zone = ZoneId("here")});
    const Endpoint local{HostId("h1"), ZoneId("here"), {1}, "127.0.0.1", 1};
    router.setEndpoints({}, now, {local});
    const Admission admission = router.admit(requestBy(Millis(1000)), now);
    REQUIRE(std::holds_alternative<Refusal>(admission));
    CHECK(std::get<Refusal>(admission).reason == RefusalReason::NoUpstream);
    CHECK(router.readyEndpointCount() == 0); // exported as the gauge of ready instances
}

TEST_CASE_METHOD(ServiceRouterTest,
                 "ServiceRouter: cut off with a ready instance: starting ones are not used")
{
    ServiceRouter router(rule, {.zone = ZoneId("here")});
    const Endpoint ready{HostId("h1"), ZoneId("here"), {1}, "127.0.0.1", 1};
    const Endpoint starting{HostId("h2"), ZoneId("here"), {1}, "127.0.0.1", 1};
    router.setEndpoints({ready}, now, {starting});
    SlotRequest request = requestBy(Millis(1000));
    request.viewIsFresh = false;
    for (int count = 0; count < rule.slots; ++count) {
        const Admission admission = router.admit(request, now);
        REQUIRE(std::holds_alternative<SlotGrant>(admission));
        CHECK(std::get<SlotGrant>(admission).endpoint == ready);
    }
    CHECK(std::holds_alternative<Waiting>(router.admit(request, now)));
}

TEST_CASE_METHOD(ServiceRouterTest, "ServiceRouter: all slots taken: waits in order of deadlines")
{
    ServiceRouter router = routerWith(1, 0);
    Endpoint endpoint;
    for (int count = 0; count < 4; ++count)
        endpoint = std::get<SlotGrant>(router.admit(requestBy(Millis(9000)), now)).endpoint;
    const auto late = std::get<Waiting>(router.admit(requestBy(Millis(9000)), now));
    const auto early = std::get<Waiting>(router.admit(requestBy(Millis(5000)), now));
    const auto grants = router.releaseSlot(endpoint, AttemptResult::Responded, Millis(10), now);
    REQUIRE(grants.size() == 1);
    CHECK(grants.front().waiter == early.id);
    CHECK(late.id != early.id);
}

TEST_CASE_METHOD(ServiceRouterTest,
                 "ServiceRouter: a deadline that can't be met: refused on arrival")
{
    ServiceRouter router = routerWith(1, 0);
    for (int count = 0; count < 4; ++count)
        router.admit(requestBy(Millis(9000)), now);
    const Admission admission = router.admit(requestBy(Millis(5)), now);
    const auto &refusal = std::get<Refusal>(admission);
    CHECK(refusal.reason == RefusalReason::TimeoutTooShort);
    CHECK(refusal.execution == ExecutionStatus::NotExecuted);
    CHECK(refusal.retryAfter.has_value());
}

TEST_CASE_METHOD(ServiceRouterTest, "ServiceRouter: a full queue: refused as overloaded")
{
    ServiceRouter router = routerWith(1, 0, 2);
    for (int count = 0; count < 6; ++count)
        router.admit(requestBy(Millis(9000)), now);
    const Admission admission = router.admit(requestBy(Millis(9000)), now);
    CHECK(std::get<Refusal>(admission).reason == RefusalReason::Overloaded);
}

TEST_CASE_METHOD(ServiceRouterTest, "ServiceRouter: an upstream that fails fast: gets little work")
{
    ServiceRouter router = routerWith(3, 0);
    int failed = 0;
    for (int count = 0; count < 1000; ++count) {
        const auto grant = std::get<SlotGrant>(router.admit(requestBy(Millis(1000)), now));
        const bool isBad = grant.endpoint.host == HostId("h0");
        failed += isBad ? 1 : 0;
        now += Millis(1);
        router.releaseSlot(grant.endpoint,
                           isBad ? AttemptResult::IncompleteResponse : AttemptResult::Responded,
                           Millis(isBad ? 1 : 10), now);
    }
    CHECK(failed < 30);
}

TEST_CASE_METHOD(ServiceRouterTest,
                 "ServiceRouter: any sequence of calls: no slot is lost or shared")
{
    rc::prop("in flight never exceeds the slots, and all come back", [this] {
        ServiceRouter router = routerWith(2, 2);
        std::vector<Endpoint> held;
        std::map<WaiterId, bool> waiting;
        const int steps = *rc::gen::inRange(1, 300);
        const auto recordGrants = [&](const std::vector<SlotGrant> &grants) {
            for (const SlotGrant &grant : grants) {
                RC_ASSERT(waiting.erase(grant.waiter) == 1U);
                held.push_back(grant.endpoint);
            }
        };
        for (int step = 0; step < steps; ++step) {
            now += Millis(*rc::gen::inRange(0, 50));
            if (held.empty() || *rc::gen::inRange(0, 2) == 0) {
                const Admission admission = router.admit(requestBy(Millis(60000)), now);
                if (const auto *grant = std::get_if<SlotGrant>(&admission))
                    held.push_back(grant->endpoint);
                else if (const auto *waiter = std::get_if<Waiting>(&admission))
                    waiting[waiter->id] = true;
            } else {
                const Endpoint endpoint = held.back();
                held.pop_back();
                const auto result = *rc::gen::element(AttemptResult::Responded,
                                                      AttemptResult::Refused,
                                                      AttemptResult::IncompleteResponse);
                recordGrants(router.releaseSlot(endpoint, result, Millis(5), now));
            }
            std::map<HostId, int> perHost;
            for (const Endpoint &endpoint : held)
                RC_ASSERT(++perHost[endpoint.host] <= rule.slots);
            RC_ASSERT(router.inFlight() == static_cast<int>(held.size()));
            RC_ASSERT(router.waitingCount() == waiting.size());
        }
        while (!held.empty()) {
            const Endpoint endpoint = held.back();
            held.pop_back();
            now += Millis(40000);
            recordGrants(router.releaseSlot(endpoint, AttemptResult::Responded, Millis(5), now));
        }
        RC_ASSERT(waiting.empty());
        RC_ASSERT(router.inFlight() == 0);
    });
}
