#include "oleanderhall/ownership/ownership.h"

#include <catch2/catch.hpp>

using namespace oleanderhall;

namespace {

class OwnershipTest
{
protected:
    void advance(Millis time) { now += time; }
    void own()
    {
        ownership.recordsRead({}, 0, now);
        REQUIRE(ownership.nextStep(now) == Ownership::Step::TakeOver);
        ownership.takeOverAnswered(true, 5, now, now);
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
    own();
    CHECK(ownership.maySendCommands(now));
    CHECK(ownership.term().version == 5);
    CHECK(ownership.term().generation == 1);
}

TEST_CASE_METHOD(OwnershipTest, "Ownership_ownerRenews_isLeftAlone", "[ownership]")
{
    for (std::uint64_t beat = 10; beat < 20; ++beat) {
        ownership.recordsRead({.owner = "other", .generation = 1, .version = 7}, beat, now);
        advance(settings.lease - Millis(1));
        CHECK(ownership.nextStep(now) == Ownership::Step::None);
    }
}

TEST_CASE_METHOD(OwnershipTest, "Ownership_ownerFallsSilent_takesOverAfterItsLease", "[ownership]")
{
    ownership.recordsRead({.owner = "other", .generation = 1, .version = 7}, 10, now);
    for (int half = 0; half < 2; ++half) {
        CHECK(ownership.nextStep(now) == Ownership::Step::None);
        advance(settings.lease / 2);
        ownership.recordsRead({.owner = "other", .generation = 1, .version = 7}, 10, now);
    }
    CHECK(ownership.nextStep(now) == Ownership::Step::TakeOver);
}

TEST_CASE_METHOD(OwnershipTest, "Ownership_renewalsFail_stopsOrdersBeforeOthersMayTakeOver",
                 "[ownership]")
{
    own();
    const Instant renewed = now;
    advance(settings.renewInterval);
    REQUIRE(ownership.nextStep(now) == Ownership::Step::Renew);
    ownership.renewAnswered(false, false, 0, now, now);
    CHECK(ownership.maySendCommands(renewed + settings.lease - settings.margin - Millis(1)));
    CHECK_FALSE(ownership.maySendCommands(renewed + settings.lease - settings.margin));
    CHECK(ownership.mayExtendLeases(renewed + settings.leaseExtensionTime - Millis(1)));
    CHECK_FALSE(ownership.mayExtendLeases(renewed + settings.leaseExtensionTime));
}

TEST_CASE_METHOD(OwnershipTest, "Ownership_slowRenewal_countsFromWhenItWasSent", "[ownership]")
{
    own();
    advance(settings.renewInterval);
    const Instant sent = now;
    REQUIRE(ownership.nextStep(now) == Ownership::Step::Renew);
    advance(Millis(900));
    ownership.renewAnswered(true, false, 9, sent, now);
    CHECK_FALSE(ownership.maySendCommands(sent + settings.lease - settings.margin));
}

TEST_CASE_METHOD(OwnershipTest, "Ownership_anotherTermSeen_endsOwnership", "[ownership]")
{
    own();
    ownership.recordsRead({.owner = "other", .generation = 2, .version = 8}, 8, now);
    CHECK_FALSE(ownership.isOwner());
    CHECK_FALSE(ownership.maySendCommands(now));
}

TEST_CASE_METHOD(OwnershipTest, "Ownership_overtakenAnswer_changesNothing", "[ownership]")
{
    own();
    ownership.recordsRead({.owner = "earlier", .generation = 0, .version = 2}, 3, now);
    CHECK(ownership.isOwner());
}

TEST_CASE_METHOD(OwnershipTest, "Ownership_resigned_doesNotTakeOverAgain", "[ownership]")
{
    ownership.recordsRead({}, 0, now);
    ownership.resign();
    advance(std::chrono::minutes(1));
    CHECK(ownership.nextStep(now) == Ownership::Step::None);
}

TEST_CASE_METHOD(OwnershipTest, "Ownership_takeOverRefused_triesAgainLater", "[ownership]")
{
    ownership.recordsRead({}, 0, now);
    REQUIRE(ownership.nextStep(now) == Ownership::Step::TakeOver);
    CHECK(ownership.nextStep(now) == Ownership::Step::None);
    ownership.takeOverAnswered(false, 0, now, now);
    CHECK(ownership.nextStep(now) == Ownership::Step::None);
    advance(settings.retryDelay);
    CHECK(ownership.nextStep(now) == Ownership::Step::TakeOver);
}

TEST_CASE_METHOD(OwnershipTest, "Ownership_tableBackAfterOutage_leavesItToTheOwner", "[ownership]")
{
    const TermRecord term{.owner = "other", .generation = 1, .version = 7};
    ownership.recordsRead(term, 10, now);
    for (int quarter = 0; quarter < 16; ++quarter) { // the table answers nobody
        advance(Millis(250));
        CHECK(ownership.nextStep(now) == Ownership::Step::None);
    }
    ownership.recordsRead(term, 10, now);
    CHECK(ownership.nextStep(now) == Ownership::Step::None);
    // The owner did not come back with the table.
    const Instant back = now;
    while (now < back + settings.lease) {
        CHECK(ownership.nextStep(now) == Ownership::Step::None);
        advance(Millis(500));
        ownership.recordsRead(term, 10, now);
    }
    CHECK(ownership.nextStep(now) == Ownership::Step::TakeOver);
}

TEST_CASE_METHOD(OwnershipTest, "Ownership_ownRowSeenBeforeTheAnswer_countsOneGeneration",
                 "[ownership]")
{
    // Run numbers follow from the generation: two owners must never share one.
    ownership.recordsRead({.owner = "", .generation = 4, .version = 7}, 0, now);
    REQUIRE(ownership.nextStep(now) == Ownership::Step::TakeOver);
    ownership.recordsRead({.owner = "self", .generation = 5, .version = 8}, 8, now);
    ownership.takeOverAnswered(true, 8, now, now);
    CHECK(ownership.term().generation == 5);
}

TEST_CASE_METHOD(OwnershipTest, "Ownership_weakerThanLastOwner_leavesItToTheStrong", "[ownership]")
{
    // One strong and many weak processes: the first heartbeat missed must not put the fleet into
    // the hands of one that can't keep up.
    settings.processorShare = 0.12;
    Ownership weak{"weak", settings, now};
    settings.processorShare = 0.5;
    Ownership strong{"strong", settings, now};
    const TermRecord term{.owner = "other", .generation = 1, .version = 7, .processorShare = 0.5};
    const auto wait = [&](Millis time) {
        for (Millis left = time; left > Millis(0); left -= Millis(500)) {
            advance(Millis(500));
            weak.recordsRead(term, 10, now);
            strong.recordsRead(term, 10, now);
        }
    };
    weak.recordsRead(term, 10, now);
    strong.recordsRead(term, 10, now);
    wait(settings.lease);
    CHECK(weak.nextStep(now) == Ownership::Step::None);
    CHECK(strong.nextStep(now) == Ownership::Step::TakeOver);
    wait(settings.belowOwnerDelay);
    CHECK(weak.nextStep(now) == Ownership::Step::TakeOver); // no strong one is left
}

TEST_CASE_METHOD(OwnershipTest, "Ownership_weakerAtHandOver_leavesItToTheStrong", "[ownership]")
{
    settings.processorShare = 0.12;
    Ownership weak{"weak", settings, now};
    weak.recordsRead({.generation = 1, .version = 7, .processorShare = 0.5}, 10, now);
    CHECK(weak.nextStep(now) == Ownership::Step::None);
    advance(settings.belowOwnerDelay);
    CHECK(weak.nextStep(now) == Ownership::Step::TakeOver);
}

TEST_CASE_METHOD(OwnershipTest, "Ownership_lastOwnerAsWeak_takesOverSoonAfterTheStrong",
                 "[ownership]")
{
    settings.processorShare = 0.12;
    Ownership weak{"weak", settings, now};
    const TermRecord term{.owner = "other", .generation = 1, .version = 7, .processorShare = 0.12};
    weak.recordsRead(term, 10, now);
    for (int half = 0; half < 2; ++half) {
        advance(settings.lease / 2);
        weak.recordsRead(term, 10, now);
    }
    CHECK(weak.nextStep(now) == Ownership::Step::None);
    advance(settings.lowShareDelay);
    CHECK(weak.nextStep(now) == Ownership::Step::TakeOver);
}
