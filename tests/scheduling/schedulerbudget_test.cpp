// Disruption budgets: which runs maintenance may end.
#include "../support/schedulerfixture.h"

#include <algorithm>

using namespace oleanderhall;
using namespace oleanderhall::test;

TEST_CASE_METHOD(SchedulerTest, "Scheduler_twoTasksOfAStepOnOneWorker_maintenanceMustWait",
                 "[scheduler]")
{
    // Guards against maintenance that exceeds a disruption budget: both tasks would end at the same
    // time, although the step may miss only one.
    syncAllWorkers();
    submit(longRunningJob(1, 2, 1));
    const std::vector<StartCommand> starts = tick<StartCommand>();
    REQUIRE(starts.size() == 2);
    REQUIRE(starts[0].worker == starts[1].worker);
    confirm(starts);
    answerPoll(nextPoll(starts[0].worker), {readyRun(starts[0]), readyRun(starts[1])});
    CHECK_FALSE(scheduler.mayInterrupt(starts[0].worker, now));
}

TEST_CASE_METHOD(SchedulerTest, "Scheduler_tasksOnASilentWorker_maintenanceMustWait", "[scheduler]")
{
    // Guards against maintenance that exceeds a disruption budget: the runs of a worker that does
    // not answer may still be ready, so ending both would exceed it.
    syncAllWorkers();
    submit(longRunningJob(1, 2, 1));
    const std::vector<StartCommand> starts = tick<StartCommand>();
    confirm(starts);
    answerPoll(nextPoll(starts[0].worker), {readyRun(starts[0]), readyRun(starts[1])});
    answerPoll(nextPoll(starts[0].worker), {}, {}, CallResult::Unknown);
    CHECK_FALSE(scheduler.mayInterrupt(starts[0].worker, now));
}

TEST_CASE_METHOD(SchedulerTest, "Scheduler_evacuationOnASilentWorker_stopsOneTaskAtATime",
                 "[scheduler]")
{
    // Guards against an evacuation that exceeds a disruption budget (seed 720643743220): a task
    // that is being stopped counts as missing, whether its worker answers or not.
    syncAllWorkers();
    submit(longRunningJob(1, 2, 1));
    const std::vector<StartCommand> starts = tick<StartCommand>();
    confirm(starts);
    const WorkerId worker = starts[0].worker;
    answerPoll(nextPoll(worker), {readyRun(starts[0]), readyRun(starts[1])});
    scheduler.evacuate({worker}, now);
    CHECK(tick<StopCommand>().size() == 1);
    REQUIRE(polls.back().worker == worker);
    answerPoll(polls.back(), {}, {}, CallResult::Unknown);
    scheduler.evacuate({worker}, now);
    int stopping = 0;
    for (const WorkerRun &run : scheduler.workers().at(worker).runs)
        stopping += run.phase == WorkerRun::Phase::Stopping ? 1 : 0;
    CHECK(stopping == 1);
}

TEST_CASE_METHOD(SchedulerTest, "Scheduler_taskJustStarted_maintenanceMustWait", "[scheduler]")
{
    // Guards against maintenance that exceeds a disruption budget: the task may have become ready
    // since the last poll.
    syncAllWorkers();
    submit(longRunningJob(1, 1, 0));
    const std::vector<StartCommand> starts = tick<StartCommand>();
    REQUIRE(starts.size() == 1);
    // The start is not answered yet, but the task may run already.
    CHECK_FALSE(scheduler.mayInterrupt(starts[0].worker, now));
    confirm(starts);
    CHECK_FALSE(scheduler.mayInterrupt(starts[0].worker, now));
}

TEST_CASE_METHOD(SchedulerTest, "Scheduler_peerOnTheSameWorkerStarts_taskAtWorkStays",
                 "[scheduler]")
{
    syncAllWorkers();
    submit(longRunningJob(1, 2, 1));
    const std::vector<StartCommand> starts = tick<StartCommand>();
    confirm(starts);
    const WorkerId worker = starts[0].worker;
    ActiveRun starting = readyRun(starts[1]);
    starting.progressPercent = 40;
    answerPoll(nextPoll(worker), {readyRun(starts[0]), starting});
    // The task that is starting may be stopped. The ready one must not be stopped until the other
    // is ready.
    for (int round = 0; round < 2; ++round) {
        scheduler.evacuate({worker}, now);
        for (const StopCommand &stop : tick<StopCommand>())
            CHECK(stop.task != starts[0].task);
    }
}

TEST_CASE_METHOD(SchedulerTest, "Scheduler_earlierOwnersStopUnderWay_maintenanceMustWait",
                 "[scheduler]")
{
    // Guards against maintenance that exceeds a disruption budget after a change of owner: the
    // earlier owner's stop was accepted before this owner's first poll, but the run is still
    // listed for as long as a stop may take.
    const JobSpec job = longRunningJob(1, 2, 1);
    scheduler.addJob(job, {.id = job.id, .isReleased = true}, true, now);
    const TaskId first{job.id, 0, 0, 0};
    const TaskId second{job.id, 0, 0, 1};
    for (const PollRequest &request : tick<PollRequest>()) {
        const TaskId task = request.worker == w1 ? first : second;
        answerPoll(request, {{.task = task, .run = 1, .progressPercent = 100}});
    }
    CHECK_FALSE(scheduler.mayInterrupt(w1, now));
    const std::vector<PollRequest> early = tick<PollRequest>();
    CHECK(early.size() == 2);
    advance(SchedulerSettings{}.stopTimeout);
    for (const PollRequest &request : early) {
        CHECK(request.maxWait <= SchedulerSettings{}.stopTimeout);
        const TaskId task = request.worker == w1 ? first : second;
        answerPoll(request, {{.task = task, .run = 1, .progressPercent = 100}});
    }
    CHECK(scheduler.mayInterrupt(w1, now));
}

TEST_CASE_METHOD(SchedulerTest, "Scheduler_earlierOwnersHostCommandUnderWay_maintenanceMustWait",
                 "[scheduler]")
{
    // Guards against maintenance that exceeds a disruption budget after a change of owner: the
    // earlier owner's host command may still end the peer's worker, which answered just before.
    syncAllWorkers();
    const std::vector<StartCommand> starts = startOnBothWorkers();
    const Instant settled = now + Millis(3000);
    scheduler.distrustRuns(w2, settled);
    CHECK_FALSE(scheduler.mayInterrupt(w1, now));
    scheduler.evacuate({w1}, now);
    CHECK(tick<StopCommand>().empty());
    now = settled;
    CHECK_FALSE(scheduler.mayInterrupt(w1, now)); // no status is from after the command
    reportReady(starts);
    CHECK(scheduler.mayInterrupt(w1, now));
}

TEST_CASE_METHOD(SchedulerTest, "Scheduler_hostCommandFailed_peersWaitForANewStatus", "[scheduler]")
{
    // Guards against maintenance that exceeds a disruption budget: what was read before a host
    // command was found to have failed doesn't show whether the worker still runs.
    syncAllWorkers();
    const std::vector<StartCommand> starts = startOnBothWorkers();
    scheduler.setTerminating(w2, true, now);
    advance(Millis(100));
    scheduler.setTerminating(w2, false, now);
    CHECK_FALSE(scheduler.mayInterrupt(w1, now));
    reportReady(starts);
    CHECK(scheduler.mayInterrupt(w1, now));
}

TEST_CASE_METHOD(SchedulerTest, "Scheduler_statusIsOld_maintenanceMustWait", "[scheduler]")
{
    // Guards against maintenance that rests on what a busy or paused process read seconds ago.
    syncAllWorkers();
    const std::vector<StartCommand> starts = startOnBothWorkers();
    CHECK(scheduler.mayInterrupt(w1, now));
    advance(SchedulerSettings{}.maxStatusAge + Millis(1));
    CHECK_FALSE(scheduler.mayInterrupt(w1, now));
    scheduler.evacuate({w1}, now);
    CHECK(tick<StopCommand>().empty());
    reportReady(starts);
    CHECK(scheduler.mayInterrupt(w1, now));
}

TEST_CASE_METHOD(SchedulerTest, "Scheduler_peerLostWhileCommandIsRecorded_commandMayNotBeSent",
                 "[scheduler]")
{
    // Guards against a host command that was admitted before its record was written, and sent
    // after a peer on another worker became unavailable.
    syncAllWorkers();
    startOnBothWorkers();
    scheduler.setTerminating(w1, true, now);
    CHECK(scheduler.mayEndRuns(w1, now));
    answerPoll({.worker = w2}, {}, {}, CallResult::Unknown);
    CHECK_FALSE(scheduler.mayEndRuns(w1, now));
}

TEST_CASE_METHOD(SchedulerTest, "Scheduler_preemptedWorker_stopsBatchTasksOnly", "[scheduler]")
{
    // Guards against a preemption that ends long-running tasks without regard to their budget, or
    // that starts a task elsewhere before its run has ended.
    syncAllWorkers();
    const std::vector<StartCommand> serving = startOnBothWorkers();
    submit(makeJob(2, "pool", {makeStep(1, Millis(5000))}));
    advance(Millis(10)); // until the steps are ranked again
    const std::vector<StartCommand> batch = tick<StartCommand>();
    REQUIRE(batch.size() == 1);
    confirm(batch);
    const WorkerId worker = batch[0].worker;
    scheduler.cordon({worker});
    scheduler.preempt({worker}, now);
    const std::vector<StopCommand> stops = tick<StopCommand>();
    REQUIRE(stops.size() == 1);
    CHECK(stops[0].task == batch[0].task);
    CHECK(tick<StartCommand>().empty());
    const StartCommand &neighbour = serving[serving[0].worker == worker ? 0 : 1];
    answerPoll({.worker = worker}, {readyRun(neighbour)},
               {{.sequence = 1,
                 .task = batch[0].task,
                 .run = batch[0].run,
                 .runOutcome = RunOutcome::Stopped,
                 .checkpoint = "saved"}});
    advance(Millis(10));
    const std::vector<StartCommand> again = tick<StartCommand>();
    REQUIRE(again.size() == 1);
    CHECK(again[0].worker != worker);
    CHECK(again[0].checkpoint == "saved");
}

TEST_CASE_METHOD(SchedulerTest, "Scheduler_startsUnansweredAndTasksAtWork_tasksGoOn", "[scheduler]")
{
    // Guards against stops that exceed a disruption budget (review case 5): a worker carried out
    // the starts of two tasks, but its answers were lost until their last attempt.
    syncAllWorkers();
    submit(longRunningJob(1, 2, 1));
    std::vector<StartCommand> starts = tick<StartCommand>();
    REQUIRE(starts.size() == 2);
    const std::vector<StartCommand> first = starts;
    polls.clear();
    for (int attempt = 0; attempt < SchedulerSettings{}.maxStartAttempts; ++attempt) {
        REQUIRE(starts.size() == 2);
        for (const StartCommand &start : starts)
            scheduler.onStartResult(start, CallResult::Unknown, now);
        advance(SchedulerSettings{}.commandRetryDelay);
        starts = tick<StartCommand>();
    }
    CHECK(starts.empty());
    const auto poll = std::find_if(polls.rbegin(), polls.rend(), [&](const PollRequest &request) {
        return request.worker == first[0].worker;
    });
    REQUIRE(poll != polls.rend());
    answerPoll(*poll, {readyRun(first[0]), readyRun(first[1])});
    for (int step = 0; step < 100; ++step, advance(Millis(10)))
        CHECK(tick<StopCommand>().empty());
    for (const WorkerRun &run : scheduler.workers().at(first[0].worker).runs)
        CHECK(run.phase == WorkerRun::Phase::Running);
}

TEST_CASE_METHOD(SchedulerTest, "Scheduler_capacityShrinksWhileStartsAreUnanswered_tasksGoOn",
                 "[scheduler]")
{
    // Guards against stops that exceed a disruption budget: the worker's capacity shrank before the
    // starts were repeated, while the tasks were at work.
    syncAllWorkers();
    submit(longRunningJob(1, 2, 1));
    const std::vector<StartCommand> starts = tick<StartCommand>();
    REQUIRE(starts.size() == 2);
    const WorkerId worker = starts[0].worker;
    REQUIRE(starts[1].worker == worker);
    for (const StartCommand &start : starts)
        scheduler.onStartResult(start, CallResult::Unknown, now);
    const WorkerId other = worker == w1 ? w2 : w1;
    scheduler.setWorkers(
        {makeWorker(worker.name(), "pool", 1000), makeWorker(other.name(), "pool", 8000)}, now);
    advance(SchedulerSettings{}.commandRetryDelay);
    CHECK(tick<StopCommand>().empty());
    answerPoll({.worker = worker}, {readyRun(starts[0]), readyRun(starts[1])});
    CHECK(tick<StopCommand>().empty());
}
