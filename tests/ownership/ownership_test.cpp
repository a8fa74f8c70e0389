#include "oleanderhall/ownership/ownership.h"

#include <catch2/catch.hpp>

using namespace oleanderhall;

namespace {

class OwnershipTest
{
protected:
    void advance(Millis time) { now += time; }
    /// Makes this process the owner of a fleet without an owner.
    void becomeOwner()
    {
        ownership.onRecordsRead({}, 0, now);
        REQUIRE(ownership.nextStep(now) == Ownership::Step::TakeOver);
        ownership.onTakeOverResult(true, 5, now, now);
    }

    OwnershipSettings settings;
    Instant now{std::chrono::hours(1)};
    Ownership ownership{"self", settings, now};
};

} // namespace

TEST_CASE_METHOD(OwnershipTest, "Ownership_nothingSeen_doesNothing", "[ownership]")
{
    advance(std::chrono::minutes(1));
    CHECK(ownership.nextStep(now) == Ownership::Step::None);
    CHECK_FALSE(ownership.maySendCommands(now));
}

TEST_CASE_METHOD(OwnershipTest, "Ownership_vacantTerm_takesOverAtOnce", "[ownership]")
{
    becomeOwner();
    CHECK(ownership.maySendCommands(now));
    CHECK(ownership.term().version == 5);
    CHECK(ownership.term().generation == 1);
}

TEST_CASE_METHOD(OwnershipTest, "Ownership_ownerRenews_isLeftAlone", "[ownership]")
{
    for (std::uint64_t heartbeat = 10; heartbeat < 20; ++heartbeat) {
        ownership.onRecordsRead({.owner = "other", .generation = 1, .version = 7}, heartbeat, now);
        advance(settings.lease - Millis(1));
        CHECK(ownership.nextStep(now) == Ownership::Step::None);
    }
}

TEST_CASE_METHOD(OwnershipTest, "Ownership_ownerFallsSilent_takesOverAfterItsLease", "[ownership]")
{
    ownership.onRecordsRead({.owner = "other", .generation = 1, .version = 7}, 10, now);
    for (int half = 0; half < 2; ++half) {
        CHECK(ownership.nextStep(now) == Ownership::Step::None);
        advance(settings.lease / 2);
        ownership.onRecordsRead({.owner = "other", .generation = 1, .version = 7}, 10, now);
    }
    CHECK(ownership.nextStep(now) == Ownership::Step::TakeOver);
}

TEST_CASE_METHOD(OwnershipTest, "Ownership_renewalsFail_stopsCommandsBeforeOthersMayTakeOver",
                 "[ownership]")
{
    becomeOwner();
    const Instant renewed = now;
    advance(settings.renewInterval);
    REQUIRE(ownership.nextStep(now) == Ownership::Step::Renew);
    ownership.onRenewResult(false, false, 0, now, now);
    CHECK(ownership.maySendCommands(renewed + settings.lease - settings.margin - Millis(1)));
    CHECK_FALSE(ownership.maySendCommands(renewed + settings.lease - settings.margin));
    CHECK(ownership.mayExtendLeases(renewed + settings.leaseExtensionTime - Millis(1)));
    CHECK_FALSE(ownership.mayExtendLeases(renewed + settings.leaseExtensionTime));
}

TEST_CASE_METHOD(OwnershipTest, "Ownership_slowRenewal_countsFromWhenItWasSent", "[ownership]")
{
    becomeOwner();
    advance(settings.renewInterval);
    const Instant sent = now;
    REQUIRE(ownership.nextStep(now) == Ownership::Step::Renew);
    advance(Millis(900));
    ownership.onRenewResult(true, false, 9, sent, now);
    CHECK_FALSE(ownership.maySendCommands(sent + settings.lease - settings.margin));
}

TEST_CASE_METHOD(OwnershipTest, "Ownership_anotherTermSeen_endsOwnership", "[ownership]")
{
    becomeOwner();
    ownership.onRecordsRead({.owner = "other", .generation = 2, .version = 8}, 8, now);
    CHECK_FALSE(ownership.isOwner());
    CHECK_FALSE(ownership.maySendCommands(now));
}

TEST_CASE_METHOD(OwnershipTest, "Ownership_overtakenAnswer_changesNothing", "[ownership]")
{
    becomeOwner();
    ownership.onRecordsRead({.owner = "earlier", .generation = 0, .version = 2}, 3, now);
    CHECK(ownership.isOwner());
}

TEST_CASE_METHOD(OwnershipTest, "Ownership_resigned_doesNotTakeOverAgain", "[ownership]")
{
    ownership.onRecordsRead({}, 0, now);
    ownership.resign();
    advance(std::chrono::minutes(1));
    CHECK(ownership.nextStep(now) == Ownership::Step::None);
}

TEST_CASE_METHOD(OwnershipTest, "Ownership_takeOverRefused_triesAgainLater", "[ownership]")
{
    ownership.onRecordsRead({}, 0, now);
    REQUIRE(ownership.nextStep(now) == Ownership::Step::TakeOver);
    CHECK(ownership.nextStep(now) == Ownership::Step::None);
    ownership.onTakeOverResult(false, 0, now, now);
    CHECK(ownership.nextStep(now) == Ownership::Step::None);
    advance(settings.retryDelay);
    CHECK(ownership.nextStep(now) == Ownership::Step::TakeOver);
}

TEST_CASE_METHOD(OwnershipTest, "Ownership_tableBackAfterOutage_leavesItToTheOwner", "[ownership]")
{
    const TermRecord term{.owner = "other", .generation = 1, .version = 7};
    ownership.onRecordsRead(term, 10, now);
    for (int quarter = 0; quarter < 16; ++quarter) { // an outage of the table for all processes
        advance(Millis(250));
        CHECK(ownership.nextStep(now) == Ownership::Step::None);
    }
    ownership.onRecordsRead(term, 10, now);
    CHECK(ownership.nextStep(now) == Ownership::Step::None);
    // The owner does not renew after the outage either.
    const Instant outageEnd = now;
    while (now < outageEnd + settings.lease) {
        CHECK(ownership.nextStep(now) == Ownership::Step::None);
        advance(Millis(500));
        ownership.onRecordsRead(term, 10, now);
    }
    CHECK(ownership.nextStep(now) == Ownership::Step::TakeOver);
}

TEST_CASE_METHOD(OwnershipTest, "Ownership_ownRowSeenBeforeTheAnswer_countsOneGeneration",
                 "[ownership]")
{
    // Run numbers are derived from the generation, so two owners must never have the same one.
    ownership.onRecordsRead({.owner = "", .generation = 4, .version = 7}, 0, now);
    REQUIRE(ownership.nextStep(now) == Ownership::Step::TakeOver);
    ownership.onRecordsRead({.owner = "self", .generation = 5, .version = 8}, 8, now);
    ownership.onTakeOverResult(true, 8, now, now);
    CHECK(ownership.term().generation == 5);
}

TEST_CASE_METHOD(OwnershipTest, "Ownership_fewerCoresThanTheLastOwner_leavesItToOthers",
                 "[ownership]")
{
    // Guards against a take-over, after one missed heartbeat, by a process with too little
    // processor time to keep up while another one has enough.
    settings.processorCores = 0.12;
    Ownership fewCores{"fewCores", settings, now};
    settings.processorCores = 0.5;
    Ownership manyCores{"manyCores", settings, now};
    const TermRecord term{.owner = "other", .generation = 1, .version = 7, .processorCores = 0.5};
    const auto wait = [&](Millis time) {
        for (Millis left = time; left > Millis(0); left -= Millis(500)) {
            advance(Millis(500));
            fewCores.onRecordsRead(term, 10, now);
            manyCores.onRecordsRead(term, 10, now);
        }
    };
    fewCores.onRecordsRead(term, 10, now);
    manyCores.onRecordsRead(term, 10, now);
    wait(settings.lease);
    CHECK(fewCores.nextStep(now) == Ownership::Step::None);
    CHECK(manyCores.nextStep(now) == Ownership::Step::TakeOver);
    wait(settings.outrankedDelay);
    CHECK(fewCores.nextStep(now) == Ownership::Step::TakeOver); // no other process has taken over
}

TEST_CASE_METHOD(OwnershipTest, "Ownership_fewerCoresAtHandOver_leavesItToOthers", "[ownership]")
{
    settings.processorCores = 0.12;
    Ownership fewCores{"fewCores", settings, now};
    fewCores.onRecordsRead({.generation = 1, .version = 7, .processorCores = 0.5}, 10, now);
    CHECK(fewCores.nextStep(now) == Ownership::Step::None);
    while (now < Instant(std::chrono::hours(1)) + settings.outrankedDelay) {
        CHECK(fewCores.nextStep(now) == Ownership::Step::None);
        advance(Millis(500));
        fewCores.onRecordsRead({.generation = 1, .version = 7, .processorCores = 0.5}, 10, now);
    }
    CHECK(fewCores.nextStep(now) == Ownership::Step::TakeOver);
}

TEST_CASE_METHOD(OwnershipTest, "Ownership_lastOwnerHadAsFewCores_takesOverSoonAfterOthers",
                 "[ownership]")
{
    settings.processorCores = 0.12;
    Ownership fewCores{"fewCores", settings, now};
    const TermRecord term{.owner = "other", .generation = 1, .version = 7, .processorCores = 0.12};
    fewCores.onRecordsRead(term, 10, now);
    for (int half = 0; half < 2; ++half) {
        advance(settings.lease / 2);
        fewCores.onRecordsRead(term, 10, now);
    }
    CHECK(fewCores.nextStep(now) == Ownership::Step::None);
    advance(settings.fewCoresDelay);
    CHECK(fewCores.nextStep(now) == Ownership::Step::TakeOver);
}
