#include "oleanderhall/fleet/poolplanner.h"

#include "../support/fleetworld.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <random>
#include <set>

using namespace oleanderhall;
using test::FleetWorld;

namespace {

const PoolId kPoolA("a");
const PoolId kPoolB("b");

/// Applies one event to `world`, drawn from `random`: a step of a decider, a fault of a worker or
/// entry host, or a change of the configuration.
void applyRandomEvent(FleetWorld &world, std::mt19937 &random)
{
    const auto pick = [&random](std::size_t size) { return random() % size; };
    auto worker = std::next(world.workers.begin(), static_cast<long>(pick(world.workers.size())));
    FleetWorld::Decider &decider = world.deciders[pick(world.deciders.size())];
    test::FleetWorld::WorkerState &state = worker->second;
    EntryHostObservation &entry = world.entryHosts[pick(world.entryHosts.size())];
    switch (pick(15)) {
    case 0:
    case 1:
        return world.sync(decider);
    case 2:
    case 3:
        return world.observe(decider);
    case 4:
    case 5:
        return world.plan(decider);
    case 6:
    case 7:
        return world.execute(decider);
    case 8:
        state.isUp = !state.isUp;
        return;
    case 9:
        state = {}; // An unplanned restart of the host; its worker starts with no state.
        return;
    case 10:
        entry.acknowledged = world.committed.sequence();
        entry.leaseExpired = false;
        return;
    case 11:
        entry.leaseExpired = true;
        world.now += Millis(pick(9000));
        return;
    case 12:
        state.isLeaving = !state.isLeaving;
        return;
    case 13:
        return world.assignToPool(worker->first, pick(2) == 0 ? kPoolA : kPoolB);
    default: {
        PoolRule rule = world.committed.config().pools.at(kPoolA);
        rule.minAvailable = static_cast<int>(3 + pick(3));
        RegisterPatch patch;
        patch.pools.push_back(rule);
        return world.commitOperatorChange(
            ConfigChange{world.committed.configVersion().next(), patch});
    }
    }
}

std::vector<std::string> runSchedule(std::uint32_t seed, bool checksHead)
{
    FleetWorld world(checksHead);
    world.runHealthyRounds(12);
    world.commitOperatorChange(WaveChange{{WaveId("w"), kPoolA, WaveStatus::Running, "test"}});
    std::mt19937 random(seed);
    constexpr int kSteps = 400;
    for (int step = 0; step < kSteps; ++step)
        applyRandomEvent(world, random);
    return world.violations;
}

std::set<ZoneId> zonesWithAlpha(const FleetWorld &world)
{
    std::set<ZoneId> zones;
    for (const HostId host : world.committed.hostsOf(kPoolA)) {
        if (world.committed.record(host)->instanceOf(ServiceId("alpha")))
            zones.insert(world.committed.spec(host)->zone);
    }
    return zones;
}

int readyAlpha(const FleetWorld &world)
{
    int ready = 0;
    for (const HostId host : world.committed.hostsOf(kPoolA)) {
        for (const InstanceRecord &instance : world.committed.record(host)->instances)
            ready += instance.state == InstanceState::Ready ? 1 : 0;
    }
    return ready;
}

} // namespace

TEST_CASE("PoolPlanner: a new register: every host serves and every instance is ready")
{
    FleetWorld world(true);
    world.runHealthyRounds(12);
    CHECK(world.serving(kPoolA) == 6);
    CHECK(readyAlpha(world) == 4);
}

TEST_CASE("PoolPlanner: hosts of one zone join late: every zone gets an instance all the same")
{
    FleetWorld world(true);
    for (int round = 0; round < 24; ++round) {
        for (auto &[id, worker] : world.workers) {
            const bool isLate = world.committed.config().hosts.at(id).zone == ZoneId("z2");
            worker.isUp = !isLate || round >= 6;
        }
        world.decide(world.deciders[0]);
        world.now += Millis(250);
    }
    CHECK(zonesWithAlpha(world).size() == 3);
}

TEST_CASE("PoolPlanner: a zone was lost and is back: it gets an instance again")
{
    FleetWorld world(true);
    world.runHealthyRounds(12);
    const auto runWith = [&](bool isZoneUp, int rounds) {
        for (int round = 0; round < rounds; ++round) {
            for (auto &[id, worker] : world.workers) {
                const bool isInLostZone = world.committed.config().hosts.at(id).zone
                    == ZoneId("z2");
                worker.isUp = !isInLostZone || isZoneUp;
            }
            for (EntryHostObservation &entry : world.entryHosts)
                entry.acknowledged = world.committed.sequence();
            world.decide(world.deciders[0]);
            world.now += Millis(250);
            // The surplus instance is kept until the new one is ready.
            if (round > 12)
                CHECK(readyAlpha(world) >= 4);
        }
    };
    runWith(false, 24);
    REQUIRE(zonesWithAlpha(world).size() == 2);
    runWith(true, 40);
    CHECK(zonesWithAlpha(world).size() == 3);
    CHECK(readyAlpha(world) == 4);
    const Sequence settled = world.committed.sequence();
    runWith(true, 20);
    CHECK(world.committed.sequence() == settled); // no further changes are decided
}

TEST_CASE("PoolPlanner: a wave without faults: every host is maintained and the wave ends")
{
    FleetWorld world(true);
    world.runHealthyRounds(12);
    world.commitOperatorChange(WaveChange{{WaveId("w"), kPoolA, WaveStatus::Running, "test"}});
    world.runHealthyRounds(120);
    CHECK(world.committed.waveOf(kPoolA)->status == WaveStatus::Done);
    for (const HostId host : world.committed.hostsOf(kPoolA))
        CHECK(world.committed.record(host)->wave == WaveId("w"));
    CHECK(world.violations.empty());
}

TEST_CASE("PoolPlanner: hosts that don't come back: the wave stops by itself")
{
    FleetWorld world(true);
    world.runHealthyRounds(12);
    world.commitOperatorChange(WaveChange{{WaveId("w"), kPoolA, WaveStatus::Running, "test"}});
    for (int round = 0; round < 400; ++round) {
        for (EntryHostObservation &entry : world.entryHosts)
            entry.acknowledged = world.committed.sequence();
        for (const HostId host : world.committed.hostsOf(kPoolA)) {
            if (world.committed.record(host)->state == HostState::Rebooting)
                world.workers[host].isUp = false;
        }
        world.decide(world.deciders[0]);
        world.now += Millis(1000);
    }
    const WaveRecord &wave = *world.committed.waveOf(kPoolA);
    CHECK(wave.status == WaveStatus::Stopped);
    CHECK(wave.reason == "2 hosts did not come back");
    CHECK(world.serving(kPoolA) == 4);
}

TEST_CASE("PoolPlanner: an entry host of the zone is cut off: its zone's hosts stay as they are")
{
    FleetWorld world(true);
    world.runHealthyRounds(12);
    world.commitOperatorChange(WaveChange{{WaveId("w"), kPoolA, WaveStatus::Running, "test"}});
    for (int round = 0; round < 200; ++round) {
        for (EntryHostObservation &entry : world.entryHosts) {
            entry.leaseExpired = entry.id == EntryId("e0");
            if (!entry.leaseExpired)
                entry.acknowledged = world.committed.sequence();
        }
        world.decide(world.deciders[0]);
        world.now += Millis(1000);
    }
    for (const HostId host : world.committed.hostsOf(kPoolA)) {
        const bool isFrozen = world.committed.spec(host)->zone == ZoneId("z0");
        CHECK((world.committed.record(host)->wave == WaveId("w")) == !isFrozen);
    }
}

TEST_CASE("PoolPlanner: half of the pool seems lost at once: no host is given up on")
{
    FleetWorld world(true);
    world.runHealthyRounds(12);
    for (const HostId host : world.committed.hostsOf(kPoolA))
        world.workers[host].isUp = false;
    world.decide(world.deciders[0]);
    CHECK(world.serving(kPoolA) == 6);
}

TEST_CASE("PoolPlanner: the register moves a host: it is in one pool at a time and ends in the new")
{
    FleetWorld world(true);
    world.runHealthyRounds(12);
    world.assignToPool(HostId("a0"), kPoolB);
    world.runHealthyRounds(20);
    CHECK(world.committed.record(HostId("a0"))->pool == kPoolB);
    CHECK(world.committed.record(HostId("a0"))->state == HostState::Serving);
    CHECK(world.violations.empty());
}

TEST_CASE("PoolPlanner: hosts leave during a wave: the wave counts them as unavailable")
{
    // a0 and a1 stand before the other hosts in the planner's loop, a4 and a5 behind them.
    for (const auto &leaving : {std::pair("a0", "a1"), std::pair("a4", "a5")}) {
        FleetWorld world(true);
        world.runHealthyRounds(12);
        world.commitOperatorChange(WaveChange{{WaveId("w"), kPoolA, WaveStatus::Running, "test"}});
        world.workers[HostId(leaving.first)].isLeaving = true;
        world.workers[HostId(leaving.second)].isLeaving = true;
        world.decide(world.deciders[0]);
        CHECK(world.serving(kPoolA) == 4);
        CHECK(world.violations.empty());
    }
}

TEST_CASE("PoolPlanner: a host moves while a later one leaves: the move waits for the budget")
{
    FleetWorld world(true);
    world.runHealthyRounds(12);
    world.assignToPool(HostId("a0"), kPoolB);
    world.workers[HostId("a4")].isLeaving = true;
    world.workers[HostId("a5")].isLeaving = true;
    world.decide(world.deciders[0]);
    CHECK(world.committed.record(HostId("a0"))->state == HostState::Serving);
    CHECK(world.violations.empty());
}

TEST_CASE("PoolPlanner: racing and paused deciders under faults: no budget and no pool is violated")
{
    rc::prop("no violation in any schedule", [] {
        const auto seed = *rc::gen::arbitrary<std::uint32_t>();
        const std::vector<std::string> violations = runSchedule(seed, true);
        if (!violations.empty())
            RC_FAIL(violations.front());
    });
}

TEST_CASE("PoolPlanner: entries committed without the check of the head: a budget is violated")
{
    // Shows that the property above can fail, and that it depends on the check that the head of the
    // change log has not moved since the decision: without the check, an entry decided on an
    // outdated state is committed.
    int violatingSchedules = 0;
    for (std::uint32_t seed = 1; seed <= 100; ++seed)
        violatingSchedules += runSchedule(seed, false).empty() ? 0 : 1;
    CHECK(violatingSchedules > 0);
    WARN("without the check of the head " << violatingSchedules
                                          << " of 100 schedules violate a guarantee");
}
