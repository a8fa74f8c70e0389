// Regression tests of the Scheduler for failures that simulations and randomized tests have found.
#include "../support/schedulerfixture.h"

using namespace oleanderhall;
using namespace oleanderhall::test;

TEST_CASE_METHOD(SchedulerTest, "Scheduler_workersNotSynced_startsNothing", "[scheduler]")
{
    submit(makeJob(1, "pool", {makeStep(2, Millis(100))}));
    CHECK(tick<StartCommand>().empty());
}

TEST_CASE_METHOD(SchedulerTest, "Scheduler_jobAccepted_startsEveryTaskOnce", "[scheduler]")
{
    syncAllWorkers();
    submit(makeJob(1, "pool", {makeStep(3, Millis(100))}));
    CHECK(tick<StartCommand>().size() == 3);
    CHECK(tick<StartCommand>().empty());
}

TEST_CASE_METHOD(SchedulerTest, "Scheduler_inheritedTaskAndUnlistedWorkerExpected_waits",
                 "[scheduler]")
{
    // Guards against two concurrent runs of a task: a partitioned worker may lose its entry in
    // service discovery while its runs go on.
    Scheduler successor(SchedulerSettings{}, 1, now);
    successor.setWorkers({makeWorker("w1", "pool", 8000)}, now);
    successor.updateHosts({makeHost("h1", w1), makeHost("h2", w2)}, now, now);
    const JobSpec job = makeJob(1, "pool", {makeStep(1, Millis(100))});
    successor.addJob(job, {.id = job.id, .isReleased = true}, true, now);
    int starts = 0;
    const auto count = [&](const std::vector<SchedulerAction> &actions) {
        for (const SchedulerAction &action : actions) {
            starts += std::holds_alternative<StartCommand>(action) ? 1 : 0;
            if (const auto *poll = std::get_if<PollRequest>(&action))
                successor.onPollResult(*poll, CallResult::Ok, {.clock = Millis(1)}, now, now);
        }
    };
    for (int step = 0; step < 60; ++step) {
        count(successor.tick(now, 0));
        advance(Millis(100));
    }
    CHECK(starts == 0);
    advance(SchedulerSettings{}.inheritedTaskDelay);
    count(successor.tick(now, 0));
    CHECK(starts == 1);
}

TEST_CASE_METHOD(SchedulerTest, "Scheduler_laterRunsEndReadFirst_countsTheEarlierOneToo",
                 "[scheduler]")
{
    // Guards against failures that do not count as attempts: a new owner polls workers in
    // any order, so the end of an earlier run may be reported after that of a later one.
    syncAllWorkers();
    submit(makeJob(1, "pool", {makeStep(1, Millis(100))}));
    const std::vector<StartCommand> starts = tick<StartCommand>();
    REQUIRE(starts.size() == 1);
    confirm(starts);
    const TaskId task = starts[0].task;
    PollRequest poll = nextPoll(starts[0].worker);
    answerPoll(poll, {},
               {{.sequence = 1, .task = task, .run = 12, .runOutcome = RunOutcome::Failed}});
    poll = nextPoll(starts[0].worker);
    answerPoll(poll, {},
               {{.sequence = 2, .task = task, .run = 11, .runOutcome = RunOutcome::Failed}});
    const TrackedJob &job = scheduler.jobs().at({1});
    CHECK(job.occurrences[0].steps[0].tasks[0].failures == 2);
}

TEST_CASE_METHOD(SchedulerTest, "Scheduler_silentWorker_isGrantedNoLeaseAndItsRunsAreGivenUp",
                 "[scheduler]")
{
    // Guards against tasks that are never started elsewhere: the lease of a worker that had crashed
    // was extended without end, so it never expired.
    syncAllWorkers();
    submit(makeJob(1, "pool", {makeStep(1, Millis(100))}));
    const std::vector<StartCommand> starts = tick<StartCommand>();
    confirm(starts);
    const WorkerId silent = starts[0].worker;
    bool isStartedElsewhere = false;
    for (int step = 0; step < 1200 && !isStartedElsewhere; ++step) {
        for (const StartCommand &start : tick<StartCommand>())
            isStartedElsewhere = isStartedElsewhere || start.worker != silent;
        for (const PollRequest &request : std::exchange(polls, {}))
            answerPoll(request, {}, {},
                       request.worker == silent ? CallResult::Unknown : CallResult::Ok);
        advance(Millis(10));
    }
    CHECK(isStartedElsewhere);
}

TEST_CASE_METHOD(SchedulerTest, "Scheduler_oneLostPoll_extendsTheLeaseAgain", "[scheduler]")
{
    // Guards against runs that end although their worker is healthy: after a lost answer to a poll,
    // its lease was not extended again and expired.
    syncAllWorkers();
    submit(longRunningJob(1, 1, 1));
    const std::vector<StartCommand> starts = tick<StartCommand>();
    confirm(starts);
    PollRequest poll = nextPoll(starts[0].worker);
    answerPoll(poll, {}, {}, CallResult::Unknown);
    poll = nextPoll(starts[0].worker);
    CHECK(poll.leaseExpiry.count() > 0);
}

TEST_CASE_METHOD(SchedulerTest, "Scheduler_startUnanswered_workerStaysInUse", "[scheduler]")
{
    syncAllWorkers();
    submit(makeJob(1, "pool", {makeStep(1, Millis(100))}));
    const std::vector<StartCommand> starts = tick<StartCommand>();
    scheduler.onStartResult(starts[0], CallResult::Unknown, now);
    CHECK(scheduler.workers().at(starts[0].worker).acceptsNewTasks(now));
}

TEST_CASE_METHOD(SchedulerTest, "Scheduler_cancellationOfAnUnknownJob_itsRecordsAreDeletedInTime",
                 "[scheduler]")
{
    // Guards against records of jobs that were cancelled before they were stored and stay for ever.
    syncAllWorkers();
    scheduler.cancel({7}, now);
    CHECK(scheduler.areIndexesConsistent());
    tick<StartCommand>();
    CHECK(writes.empty());
    advance(SchedulerSettings{}.statusLifetime + std::chrono::minutes(1));
    tick<StartCommand>();
    REQUIRE(writes.size() == 1);
    CHECK(writes[0].droppedJobs == std::vector<JobId>{{7}});
}

TEST_CASE_METHOD(SchedulerTest, "Scheduler_cancellationReadBeforeItsJob_jobIsCancelledAndNeverRuns",
                 "[scheduler]")
{
    // Guards against a cancelled job that runs because a list showed its cancellation first.
    syncAllWorkers();
    scheduler.cancel({1}, now);
    submit(makeJob(1, "pool", {makeStep(2, Millis(100))}));
    CHECK(tick<StartCommand>().empty());
    REQUIRE(writes.size() == 1);
    REQUIRE(writes[0].updates.size() == 1);
    CHECK(writes[0].updates[0].state == JobState::Cancelled);
    CHECK(scheduler.areIndexesConsistent());
}

TEST_CASE_METHOD(SchedulerTest, "Scheduler_startUnansweredThreeTimes_stopsTheRunFirst",
                 "[scheduler]")
{
    // Guards against a second run while a start that wasn't answered may still be carried out.
    syncAllWorkers();
    submit(makeJob(1, "pool", {makeStep(1, Millis(100))}));
    std::vector<StartCommand> starts = tick<StartCommand>();
    const StartCommand first = starts[0];
    for (int attempt = 0; attempt < 3; ++attempt) {
        REQUIRE(starts.size() == 1);
        CHECK(starts[0].run == first.run);
        CHECK(starts[0].worker == first.worker);
        scheduler.onStartResult(starts[0], CallResult::Unknown, now);
        advance(Millis(300));
        if (attempt < 2)
            starts = tick<StartCommand>();
    }
    CHECK(tick<StartCommand>().empty());
    CHECK(tick<StopCommand>().empty()); // the run may be at work
    answerPoll(polls.back()); // it isn't
    const std::vector<StopCommand> stops = tick<StopCommand>();
    REQUIRE(stops.size() == 1);
    CHECK(stops[0].run == first.run);
    CHECK(stops[0].worker == first.worker);
    CHECK(tick<StartCommand>().empty());
}

TEST_CASE_METHOD(SchedulerTest, "Scheduler_endNotRecorded_isNotAcknowledged", "[scheduler]")
{
    syncAllWorkers();
    submit(makeJob(1, "pool", {makeStep(1, Millis(100))}));
    const std::vector<StartCommand> starts = tick<StartCommand>();
    confirm(starts);
    answerPoll(nextPoll(starts[0].worker), {},
               {{.sequence = 7,
                 .task = starts[0].task,
                 .run = starts[0].run,
                 .runOutcome = RunOutcome::Done}});
    CHECK(scheduler.jobs().at({1}).state == JobState::Completed);
    for (int step = 0; step < 50; ++step) {
        for (const PollRequest &request : tick<PollRequest>()) {
            CHECK(request.acknowledgedEnd == 0);
            answerPoll(request);
        }
        advance(Millis(10));
    }
    REQUIRE_FALSE(writes.empty());
    scheduler.onProgressWritten(writes.back().batch, true, now);
    CHECK(nextPoll(starts[0].worker).acknowledgedEnd == 7);
}

TEST_CASE_METHOD(SchedulerTest, "Scheduler_cancelled_stopsItsRunsAndStartsNoMore", "[scheduler]")
{
    syncAllWorkers();
    submit(makeJob(1, "pool", {makeStep(2, Millis(100)), makeStep(1, Millis(100), {0})}));
    const std::vector<StartCommand> starts = tick<StartCommand>();
    confirm(starts);
    scheduler.cancel({1}, now);
    CHECK(tick<StopCommand>().size() == starts.size());
    advance(Millis(500));
    CHECK(tick<StartCommand>().empty());
}

TEST_CASE_METHOD(SchedulerTest, "Scheduler_ownershipInDoubt_sendsNoCommands", "[scheduler]")
{
    syncAllWorkers();
    submit(makeJob(1, "pool", {makeStep(2, Millis(100))}));
    CHECK(tick<StartCommand>(false).empty());
    CHECK(tick<StartCommand>(true).size() == 2);
}

TEST_CASE_METHOD(SchedulerTest, "Scheduler_statusWithUnreadableRuns_endsNoMissingRun",
                 "[scheduler]")
{
    // Guards against a second run of a task whose first one is the unreadable one.
    syncAllWorkers();
    submit(makeJob(1, "pool", {makeStep(1, Millis(5000))}));
    const std::vector<StartCommand> starts = tick<StartCommand>();
    confirm(starts);
    const PollRequest poll = nextPoll(starts[0].worker);
    scheduler.onPollResult(poll, CallResult::Ok, {.hasUnreadableActiveRuns = true}, now, now);
    CHECK(tick<StartCommand>().empty());
    CHECK(tick<PollRequest>().empty()); // not at once, as the worker has not changed
    answerPoll({.worker = starts[0].worker});
    CHECK(tick<StartCommand>().size() == 1);
}

TEST_CASE_METHOD(SchedulerTest, "Scheduler_startAnswerUnreadable_stopsTheRunFirst", "[scheduler]")
{
    // Guards against two runs of a task: an answer that can't be read, like an internal error of
    // the worker, doesn't show that the command had no effect.
    syncAllWorkers();
    submit(makeJob(1, "pool", {makeStep(1, Millis(100))}));
    std::vector<StartCommand> starts = tick<StartCommand>();
    for (int attempt = 0; attempt < SchedulerSettings{}.maxStartAttempts; ++attempt) {
        REQUIRE(starts.size() == 1);
        CHECK(starts[0].run == 1);
        scheduler.onStartResult(starts[0], CallResult::Invalid, now);
        advance(Millis(300));
        if (attempt < 2)
            starts = tick<StartCommand>();
    }
    CHECK(tick<StartCommand>().empty());
    CHECK(tick<StopCommand>().empty()); // the run may be at work
    answerPoll(polls.back()); // it isn't
    CHECK(tick<StopCommand>().size() == 1);
    CHECK(tick<StartCommand>().empty());
}

TEST_CASE_METHOD(SchedulerTest, "Scheduler_inheritedGangFailures_areAddedUp", "[scheduler]")
{
    // Guards against more failed runs than the queue allows after a change of owner: the failures
    // of a gang's tasks count together.
    StepSpec step = makeStep(2, Millis(100));
    step.isGang = true;
    const JobSpec job = makeJob(1, "pool", {step});
    JobProgress progress{.id = job.id, .isReleased = true};
    progress.tasks = {{.index = 0, .failures = 1, .endedRuns = {1}},
                      {.index = 1, .failures = 1, .endedRuns = {2}}};
    scheduler.addJob(job, progress, true, now);
    CHECK(scheduler.jobs().at({1}).occurrences[0].steps[0].gangFailures == 2);
}
