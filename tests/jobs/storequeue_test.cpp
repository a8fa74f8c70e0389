// Guards against callers that are told "unknown" although nothing of their job was sent or its
// outcome could have been learned in time, and against a false "not stored".
#include "../support/storeworld.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace oleanderhall;
using namespace oleanderhall::test;
using Result = StoreQueue::Result;
using Stage = TableSilence::Stage;

namespace {

class StoreQueueTest
{
protected:
    StoreQueue::Step tick(Stage stage = Stage::Answering) { return queue.tick(stage, now); }
    void add(std::uint64_t job, Millis limit = Millis(2800), bool comesLast = false)
    {
        queue.add(JobId{job}, 100, job, now + limit, comesLast);
    }
    StoreOutcome onlyOutcome(const StoreQueue::Step &step)
    {
        REQUIRE(step.answers.size() == 1);
        return step.answers.front().outcome;
    }

    Instant now{std::chrono::hours(1)};
    StoreQueue queue;
};

class TableSilenceTest
{
protected:
    /// Observes the table every 50 ms for `time`.
    Stage stageAfter(Millis time)
    {
        for (const Instant end = now + time; now < end; now += Millis(50))
            silence.observe(now);
        silence.observe(now);
        return silence.stage(now);
    }

    Instant now{std::chrono::hours(1)};
    TableSilence silence;
};

std::string text(const StoreWorld::Count &count)
{
    return "stored " + std::to_string(count.stored) + ", refused " + std::to_string(count.refused)
        + ", unknown " + std::to_string(count.unknown);
}

/// Returns whether less than a tenth of the answers without success are "unknown".
bool isMostlyKnown(const StoreWorld::Count &count)
{
    return count.unknown * 10 < count.refused + count.unknown || count.unknown == 0;
}

} // namespace

TEST_CASE_METHOD(StoreQueueTest, "StoreQueue_neverSent_isRefusedAndNotUnknown", "[jobs]")
{
    add(1);
    CHECK(tick().batch.size() == 1);
    add(2, Millis(500));
    CHECK(tick().batch.empty());
    now += Millis(500);
    CHECK(onlyOutcome(tick()) == StoreOutcome::Refused);
}

TEST_CASE_METHOD(StoreQueueTest, "StoreQueue_refusedOnly_isRefusedAndNotUnknown", "[jobs]")
{
    add(1, Millis(100));
    tick();
    queue.onBatchResult(Result::Refused, 0, {}, now);
    now += Millis(100);
    CHECK(onlyOutcome(tick()) == StoreOutcome::Refused);
}

TEST_CASE_METHOD(StoreQueueTest, "StoreQueue_refusedAfterAnUnansweredCall_staysUnknown", "[jobs]")
{
    add(1, Millis(2000));
    tick();
    now += Millis(1800);
    queue.onBatchResult(Result::Unanswered, 0, {}, now);
    now += Millis(100);
    CHECK(tick().batch.size() == 1);
    queue.onBatchResult(Result::Refused, 0, {}, now);
    now += Millis(100);
    CHECK(onlyOutcome(tick()) == StoreOutcome::Unknown);
}

TEST_CASE_METHOD(StoreQueueTest, "StoreQueue_afterAnUnansweredCall_sendsNoNewJobWithTheOldOnes",
                 "[jobs]")
{
    add(1);
    tick();
    add(2);
    queue.onBatchResult(Result::Unanswered, 0, {}, now);
    now += Millis(100);
    CHECK(tick().batch == std::vector<JobId>{JobId{1}});
    queue.onBatchResult(Result::Conflict, 5, {JobId{1}}, now);
    const StoreQueue::Step step = tick();
    CHECK(step.batch == std::vector<JobId>{JobId{2}});
    CHECK(onlyOutcome(step) == StoreOutcome::AlreadyStored);
}

TEST_CASE_METHOD(StoreQueueTest, "StoreQueue_outcomeUnknownNearTheDeadline_readsTheRow", "[jobs]")
{
    add(1);
    tick();
    now += Millis(2300);
    CHECK(tick().reads.empty());
    now += Millis(200);
    CHECK(tick().reads == std::vector<JobId>{JobId{1}});
    CHECK(tick().reads.empty());
    queue.onRowFound(JobId{1}, 7);
    CHECK(onlyOutcome(tick()) == StoreOutcome::AlreadyStored);
    queue.onBatchResult(Result::Unanswered, 0, {}, now);
    CHECK(queue.empty());
}

TEST_CASE_METHOD(StoreQueueTest, "StoreQueue_anotherNodeWrites_readsTheRowAndSendsNothing",
                 "[jobs]")
{
    // Guards against many nodes that send a few jobs of unknown outcome again and again and keep
    // the queue of a slow partition full, so that its writer is rejected.
    add(1);
    CHECK(tick().batch.size() == 1);
    queue.onBatchResult(Result::Unanswered, 0, {}, now);
    now += Millis(2000);
    CHECK(queue.tick(Stage::Answering, now, false).batch.empty());
    now += Millis(500);
    const StoreQueue::Step step = queue.tick(Stage::Answering, now, false);
    CHECK(step.batch.empty());
    CHECK(step.reads == std::vector<JobId>{JobId{1}});
    queue.onRowFound(JobId{1}, 7);
    CHECK(onlyOutcome(queue.tick(Stage::Answering, now, false)) == StoreOutcome::AlreadyStored);
}

TEST_CASE_METHOD(StoreQueueTest, "StoreQueue_addedAgainAfterItsRowWasFound_isQueuedOnce", "[jobs]")
{
    add(1);
    tick();
    queue.onRowFound(JobId{1}, 7);
    add(1);
    CHECK(tick().batch.empty());
    queue.onBatchResult(Result::Unanswered, 0, {}, now);
    now += Millis(100);
    CHECK(tick().batch == std::vector<JobId>{JobId{1}});
    queue.onBatchResult(Result::Conflict, 7, {JobId{1}}, now);
    CHECK(onlyOutcome(tick()) == StoreOutcome::AlreadyStored);
    now += Millis(100);
    CHECK(tick().batch.empty());
}

TEST_CASE_METHOD(StoreQueueTest, "StoreQueue_tableSilent_refusesWhatIsNotSentAtOnce", "[jobs]")
{
    add(1);
    tick();
    add(2);
    CHECK(tick(Stage::Doubtful).answers.empty());
    CHECK(onlyOutcome(tick(Stage::Silent)) == StoreOutcome::Refused);
    CHECK_FALSE(queue.admits(now + Millis(2800), false, Stage::Silent, now));
    queue.onBatchResult(Result::Unanswered, 0, {}, now);
    now += Millis(500);
    CHECK(tick(Stage::Silent).batch.empty());
    CHECK(tick(Stage::Doubtful).batch.empty());
    CHECK(tick().batch == std::vector<JobId>{JobId{1}});
}

TEST_CASE_METHOD(StoreQueueTest, "StoreQueue_jobsThatComeLast_costNoOtherJobItsPlace", "[jobs]")
{
    add(1);
    tick();
    for (std::uint64_t job = 100; job < 200; ++job)
        add(job, Millis(2800), true);
    for (std::uint64_t job = 2; job < 22; ++job)
        add(job);
    CHECK(queue.admits(now + Millis(2800), false, Stage::Answering, now));
    queue.onBatchResult(Result::Done, 1, {}, now);
    const std::vector<JobId> batch = tick().batch;
    REQUIRE(batch.size() == StoreQueue::kMaxBatchJobs);
    CHECK(batch[19] == JobId{21});
    CHECK(batch[20] == JobId{100});
}

TEST_CASE_METHOD(TableSilenceTest, "TableSilence_oneLostAnswer_isNotSilenceOnceAProbeIsAnswered",
                 "[jobs]")
{
    silence.onSent(now);
    CHECK(stageAfter(Millis(100)) == Stage::Answering);
    CHECK(stageAfter(Millis(100)) == Stage::Doubtful);
    silence.onSent(now);
    silence.onAnswered(now, now + Millis(5));
    CHECK(stageAfter(Millis(100)) == Stage::Answering);
}

TEST_CASE_METHOD(TableSilenceTest, "TableSilence_callsTimeOut_staysSilentUntilAnAnswer", "[jobs]")
{
    silence.onSent(now);
    silence.onUnanswered(now);
    CHECK(stageAfter(Millis(1000)) == Stage::Silent);
    CHECK(stageAfter(Millis(8000)) == Stage::Silent);
    silence.onSent(now);
    silence.onAnswered(now, now + Millis(5));
    CHECK(stageAfter(Millis(50)) == Stage::Answering);
}

TEST_CASE_METHOD(TableSilenceTest, "TableSilence_processWasPaused_isNotSilenceOfTheTable", "[jobs]")
{
    silence.onSent(now);
    now += Millis(5000);
    CHECK(stageAfter(Millis(0)) == Stage::Answering);
    CHECK(stageAfter(Millis(1000)) == Stage::Silent);
}

TEST_CASE("StoreQueue_tableSixtyTimesSlowerInABurst_fewOutcomesAreUnknown", "[jobs]")
{
    StoreWorld world(1, 29, 4);
    world.load(280, Millis(2000));
    world.table.duration = Millis(240);
    world.load(280, Millis(5000));
    world.table.duration = Millis(4);
    world.load(280, Millis(2000));
    world.run(Millis(9000));
    const StoreWorld::Count count = world.count();
    INFO(text(count));
    CHECK(isMostlyKnown(count));
    CHECK(count.stored + count.refused + count.unknown == static_cast<int>(world.calls.size()));
}

TEST_CASE("StoreQueue_tableSilentForFourSeconds_fewOutcomesAreUnknown", "[jobs]")
{
    const int perSecond = GENERATE(150, 1200);
    StoreWorld world(1, 37, 4);
    world.table.duration = Millis(3);
    world.load(perSecond, Millis(1000));
    world.table.isSilent = true;
    world.load(perSecond, Millis(4000));
    world.table.isSilent = false;
    const int before = world.count().stored;
    world.load(perSecond, Millis(2000));
    world.run(Millis(9000));
    const StoreWorld::Count count = world.count();
    INFO(text(count));
    CHECK(isMostlyKnown(count));
    // Guards against hosts that go on refusing after the table answers again.
    CHECK(count.stored - before > 17 * perSecond / 10);
}

TEST_CASE("StoreQueue_tableRefusesBeyondASecondOfQueue_noOutcomeIsUnknown", "[jobs]")
{
    StoreWorld world(1, 29, 1);
    world.table.duration = Millis(100);
    world.load(300, Millis(6000));
    world.run(Millis(9000));
    const StoreWorld::Count count = world.count();
    INFO(text(count));
    CHECK(count.unknown == 0);
    CHECK(count.stored > 0);
}

TEST_CASE("StoreQueue_tableRefusesLosesAnswersAndAppliesLate_neverSaysWhatIsFalse", "[jobs]")
{
    CHECK(rc::check("no false refusal, no job stored twice", [] {
        StoreWorld world(*rc::gen::arbitrary<unsigned>(), 4, 2);
        std::uint64_t last = 0;
        for (int phase = 0; phase < 12; ++phase) {
            world.table = {.duration = Millis(world.isDrawn(0.3) ? 240 : 4),
                           .isSilent = world.isDrawn(0.15),
                           .lostShare = world.draw(3) * 0.2,
                           .lateShare = world.draw(3) * 0.2,
                           .refusedShare = world.draw(3) * 0.3};
            for (int step = 0; step < 40; ++step) {
                world.run(Millis(5 + world.draw(30)));
                // Some jobs are submitted again while the first call waits.
                const bool isAgain = last > 0 && world.isDrawn(0.2);
                world.submit(
                    isAgain
                        ? last - world.draw(static_cast<unsigned>(std::min<std::uint64_t>(last, 8)))
                        : ++last,
                    Millis(300 + world.draw(2700)));
            }
        }
        world.run(Millis(20000));
        std::map<JobId, bool> maybeStored;
        for (const StoreWorld::Call &call : world.calls) {
            RC_ASSERT(call.outcome.has_value());
            RC_ASSERT(call.answered <= call.deadline + StoreQueue::kTickInterval);
            maybeStored[call.id] |= call.outcome != StoreOutcome::Refused;
        }
        RC_ASSERT(world.answersBeforeTheRow() == 0);
        for (const auto &[id, mayBe] : maybeStored)
            RC_ASSERT(world.timesStored(id) <= (mayBe ? 1 : 0));
    }));
}

TEST_CASE("StoreQueue_someTransactionsAreAppliedLate_theirJobsAreSentAgainInTime", "[jobs]")
{
    // Guards against jobs that wait behind an unanswered transaction until their own can't be sent
    // twice.
    StoreWorld world(1, 10, 4);
    world.table.lateShare = 0.05;
    world.load(40, Millis(10000));
    world.run(Millis(9000));
    const StoreWorld::Count count = world.count();
    INFO(text(count));
    CHECK(count.stored >= 390);
    CHECK(count.unknown <= 4);
}
