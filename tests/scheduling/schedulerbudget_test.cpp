// Disruption budgets: which runs maintenance may end.
#include "../support/schedulerfixture.h"

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
    CHECK_FALSE(scheduler.mayInterrupt(starts[0].worker));
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
    CHECK_FALSE(scheduler.mayInterrupt(starts[0].worker));
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
    CHECK_FALSE(scheduler.mayInterrupt(starts[0].worker));
    confirm(starts);
    CHECK_FALSE(scheduler.mayInterrupt(starts[0].worker));
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
