// Guards against callers who are told that few jobs wait, while workers that can't be reached, or
// an owner that may not send, keep most of them from beginning.
#include "../support/schedulerfixture.h"

using namespace oleanderhall;
using namespace oleanderhall::test;

namespace {

class SchedulerWaitingCountTest : public SchedulerTest
{
protected:
    SchedulerWaitingCountTest()
    {
        syncAllWorkers();
        submit(makeJob(1, "pool", {makeStep(1, Millis(500))}));
        starts = tick<StartCommand>();
        REQUIRE(starts.size() == 1);
    }

    std::int64_t waiting() const
    {
        std::int64_t sum = 0;
        for (const QueueLoad &load : scheduler.queueLoads(now))
            sum += load.waitingJobs;
        return sum;
    }

    std::vector<StartCommand> starts;
};

} // namespace

TEST_CASE_METHOD(SchedulerWaitingCountTest,
                 "Scheduler_startIsNotConfirmedForLong_jobCountsAsWaitingUntilItIs", "[scheduling]")
{
    advance(Millis(1100));
    CHECK(waiting() == 1);
    confirm(starts);
    CHECK(waiting() == 0);
}

TEST_CASE_METHOD(SchedulerWaitingCountTest, "Scheduler_startWasJustSent_jobDoesNotCountAsWaiting",
                 "[scheduling]")
{
    // Entry hosts leave the release of new jobs to the owner while others of the queue wait.
    CHECK(waiting() == 0);
}

TEST_CASE_METHOD(SchedulerWaitingCountTest,
                 "Scheduler_startIsWithheldAgainAndAgain_jobCountsAsWaiting", "[scheduling]")
{
    for (int attempt = 0; attempt < 15; ++attempt) {
        for (const StartCommand &start : starts)
            scheduler.onStartResult(start, CallResult::Withheld, now);
        advance(Millis(100));
        starts = tick<StartCommand>();
    }
    CHECK(waiting() == 1);
}

TEST_CASE_METHOD(SchedulerWaitingCountTest, "Scheduler_statusShowsTheRunOfALostAnswer_jobHasBegun",
                 "[scheduling]")
{
    advance(Millis(1100));
    answerPoll({.worker = starts.front().worker},
               {{.task = starts.front().task, .run = starts.front().run}});
    CHECK(waiting() == 0);
}

TEST_CASE_METHOD(SchedulerWaitingCountTest, "Scheduler_startCertainlyDidNotHappen_jobCountsAtOnce",
                 "[scheduling]")
{
    // Guards against counts that lack, for a second, all jobs whose starts were just withheld.
    const auto result = GENERATE(CallResult::Withheld, CallResult::NotSent, CallResult::NoCapacity,
                                 CallResult::Unhealthy);
    scheduler.onStartResult(starts.front(), result, now);
    CHECK(waiting() == 1);
}

TEST_CASE_METHOD(SchedulerWaitingCountTest,
                 "Scheduler_noWorkerHasConfirmedAStart_jobIsRecordedAsQueued", "[scheduling]")
{
    // Guards against callers who are told that a job runs, while no worker has begun it.
    advance(Millis(500));
    tick<StartCommand>();
    REQUIRE(writes.size() == 1);
    CHECK(writes.back().updates.at(0).state == JobState::Queued);
    scheduler.onProgressWritten(writes.back().batch, true, now);
    confirm(starts);
    advance(Millis(500));
    tick<StartCommand>();
    REQUIRE(writes.size() == 2);
    CHECK(writes.back().updates.at(0).state == JobState::Running);
}
