// Workers that are slow, shed load or answer no starts get less work, by what is observed.
#include "../support/schedulerfixture.h"

using namespace oleanderhall;
using namespace oleanderhall::test;

namespace {

class SchedulerSpeedTest : public SchedulerTest
{
protected:
    static constexpr Millis kExpected{500};

    /// Lets one task run on each worker, for `onFirst` on w1 and the expected time on w2.
    void runOnBoth(Millis onFirst)
    {
        StepSpec step = makeStep(2, kExpected);
        step.maxPerWorker = 1;
        submit(makeJob(++m_job, "pool", {step}));
        advance(Millis(10));
        std::vector<StartCommand> starts = tick<StartCommand>();
        REQUIRE(starts.size() == 2);
        confirm(starts);
        if (starts[0].worker == w1)
            std::swap(starts[0], starts[1]);
        advance(kExpected);
        end(starts[0]);
        advance(onFirst - kExpected);
        end(starts[1]);
    }

    void end(const StartCommand &start)
    {
        answerPoll({.worker = start.worker}, {},
                   {{.sequence = ++m_sequence,
                     .task = start.task,
                     .run = start.run,
                     .runOutcome = RunOutcome::Done}});
    }

    /// Returns the workers that get the tasks of a job of `count` tasks, in order.
    std::vector<WorkerId> workersOf(int count)
    {
        submit(makeJob(++m_job, "pool", {makeStep(count, kExpected)}));
        advance(Millis(10));
        std::vector<WorkerId> workers;
        for (const StartCommand &start : tick<StartCommand>())
            workers.push_back(start.worker);
        return workers;
    }

private:
    std::uint64_t m_job = 0;
    std::int64_t m_sequence = 0;
};

} // namespace

TEST_CASE_METHOD(SchedulerSpeedTest, "Scheduler_workerFiveTimesSlower_isUsedLast", "[scheduler]")
{
    // Guards against a slow worker that gets as many tasks as the others, and then the most.
    syncAllWorkers();
    for (int round = 0; round < 3; ++round)
        runOnBoth(5 * kExpected);
    const std::vector<WorkerId> workers = workersOf(10);
    REQUIRE(workers.size() == 10); // it still serves when the others are full
    for (std::size_t index = 0; index < workers.size(); ++index)
        CHECK(workers[index] == (index < 8 ? w2 : w1));
}

TEST_CASE_METHOD(SchedulerSpeedTest, "Scheduler_slowWorkerRecovers_isUsedLikeTheOthers",
                 "[scheduler]")
{
    syncAllWorkers();
    for (int round = 0; round < 3; ++round)
        runOnBoth(5 * kExpected);
    CHECK(scheduler.workers().at(w1).speed.slowness(now) > 1.5);
    SECTION("it runs tasks in time again")
    {
        for (int round = 0; round < 4; ++round)
            runOnBoth(kExpected);
    }
    SECTION("it gets no tasks for a while")
    {
        advance(Millis(30000));
    }
    CHECK(scheduler.workers().at(w1).speed.slowness(now) < 1.5);
    CHECK(workersOf(1).front() == w1); // the first of equals
}

TEST_CASE_METHOD(SchedulerSpeedTest, "Scheduler_overdueRuns_showASlowWorkerBeforeTheyEnd",
                 "[scheduler]")
{
    // Guards against a slow worker that is filled with tasks until the first of them ends.
    syncAllWorkers();
    scheduler.cordon({w2});
    submit(makeJob(100, "pool", {makeStep(3, kExpected)}));
    const std::vector<StartCommand> starts = tick<StartCommand>();
    confirm(starts);
    scheduler.cordon({});
    std::vector<ActiveRun> running;
    for (const StartCommand &start : starts)
        running.push_back({.task = start.task, .run = start.run, .progressPercent = 50});
    advance(3 * kExpected);
    answerPoll({.worker = w1}, running);
    CHECK(workersOf(1).front() == w2);
}

TEST_CASE_METHOD(SchedulerSpeedTest, "Scheduler_longRunningOrGangTasks_showNoSpeed", "[scheduler]")
{
    // A gang waits for its slowest member, and a long-running task has no run time.
    StepSpec step = makeStep(2, kExpected);
    step.maxPerWorker = 1;
    SECTION("gang")
    {
        step.isGang = true;
    }
    SECTION("long-running")
    {
        step.isLongRunning = true;
    }
    SECTION("on idle cores")
    {
        step.usesIdleCores = true;
    }
    syncAllWorkers();
    submit(makeJob(1, "pool", {step}));
    const std::vector<StartCommand> starts = tick<StartCommand>();
    REQUIRE(starts.size() == 2);
    confirm(starts);
    advance(10 * kExpected);
    reportReady(starts);
    for (const StartCommand &start : starts)
        CHECK(scheduler.workers().at(start.worker).speed.slowness(now) == 1);
}

TEST_CASE_METHOD(SchedulerSpeedTest, "Scheduler_workerShedsStarts_getsNoneForAWhile", "[scheduler]")
{
    // The platform's workers answer 429 or 503 when they are overloaded.
    syncAllWorkers();
    const std::vector<WorkerId> workers = workersOf(1);
    REQUIRE(workers.size() == 1);
    const StartCommand shed{.worker = workers[0], .task = {{1}, 0, 0, 0}, .run = 1};
    scheduler.onStartResult(shed, CallResult::Unhealthy, now);
    advance(Millis(10));
    const std::vector<StartCommand> again = tick<StartCommand>();
    REQUIRE(again.size() == 1);
    CHECK(again[0].worker != workers[0]);
    CHECK(workersOf(3) == std::vector<WorkerId>(3, again[0].worker));
}

TEST_CASE_METHOD(SchedulerSpeedTest, "Scheduler_workerAnswersPollsButNoStarts_isAvoided",
                 "[scheduler]")
{
    // Guards against a worker that hangs on starts and looks healthy: each of its tasks was lost
    // for a second, and the next one went there again.
    syncAllWorkers();
    submit(makeJob(1, "pool", {makeStep(1, kExpected)}));
    std::vector<StartCommand> starts = tick<StartCommand>();
    REQUIRE(starts.size() == 1);
    const WorkerId hanging = starts[0].worker;
    for (int attempt = 0; attempt < SchedulerSettings{}.maxStartAttempts; ++attempt) {
        REQUIRE(starts.size() == 1);
        scheduler.onStartResult(starts[0], CallResult::Unknown, now);
        advance(Millis(300));
        starts = tick<StartCommand>();
    }
    CHECK_FALSE(scheduler.workers().at(hanging).acceptsNewTasks(now));
}
