// Copies of stragglers. The load: a worker that is several times slower than the others or hangs
// holds tasks of steps that may be copied, while other tasks may need the free capacity.
#include "../support/schedulerfixture.h"

using namespace oleanderhall;
using namespace oleanderhall::test;

namespace {

class SchedulerCopiesTest : public SchedulerTest
{
protected:
    static constexpr Millis kExpected{500};

    static JobSpec copyableJob(std::uint64_t id, int count = 1)
    {
        StepSpec step = makeStep(count, kExpected);
        step.allowsSpeculation = true;
        return makeJob(id, "pool", {step});
    }

    /// Starts `job` and returns its confirmed starts.
    std::vector<StartCommand> start(const JobSpec &job)
    {
        syncAllWorkers();
        submit(job);
        std::vector<StartCommand> starts = tick<StartCommand>();
        confirm(starts);
        return starts;
    }

    /// Returns the starts after `time`, during which the runs of `starts` go on.
    std::vector<StartCommand> startsAfter(Millis time)
    {
        advance(time);
        return tick<StartCommand>();
    }

    void endRun(const StartCommand &start, RunOutcome outcome)
    {
        answerPoll({.worker = start.worker}, {},
                   {{.sequence = ++m_sequence,
                     .task = start.task,
                     .run = start.run,
                     .runOutcome = outcome}});
    }

    const TrackedTask &task(int index = 0) const
    {
        return scheduler.jobs().at({1}).occurrences[0].steps[0].tasks[static_cast<std::size_t>(
            index)];
    }

private:
    std::int64_t m_sequence = 0;
};

} // namespace

TEST_CASE_METHOD(SchedulerCopiesTest, "Scheduler_straggler_isCopiedAndTheFirstDoneRunCounts",
                 "[scheduler]")
{
    // Guards against a job that waits for the slowest worker of the pool.
    const std::vector<StartCommand> starts = start(copyableJob(1));
    CHECK(startsAfter(kExpected).empty());
    const std::vector<StartCommand> copies = startsAfter(2 * kExpected);
    REQUIRE(copies.size() == 1);
    CHECK(copies[0].task == starts[0].task);
    CHECK(copies[0].worker != starts[0].worker);
    CHECK(copies[0].run > starts[0].run);
    CHECK(startsAfter(2 * kExpected).empty());
    confirm(copies);
    const bool isCopyFirst = GENERATE(false, true);
    const StartCommand &first = isCopyFirst ? copies[0] : starts[0];
    const StartCommand &second = isCopyFirst ? starts[0] : copies[0];
    endRun(first, RunOutcome::Done);
    CHECK(scheduler.jobs().at({1}).state == JobState::Completed);
    const std::vector<StopCommand> stops = tick<StopCommand>();
    REQUIRE(stops.size() == 1);
    CHECK(stops[0].worker == second.worker);
    CHECK(stops[0].run == second.run);
    // Guards against a result that is counted twice.
    endRun(second, RunOutcome::Done);
    CHECK(scheduler.jobs().at({1}).occurrences[0].steps[0].doneTasks == 1);
    CHECK(scheduler.jobs().at({1}).occurrences[0].steps[0].placedTasks == 0);
}

TEST_CASE_METHOD(SchedulerCopiesTest, "Scheduler_stepsThatMayNotBeCopied_haveOneRun", "[scheduler]")
{
    JobSpec job = copyableJob(1, 2);
    StepSpec &step = job.steps.front();
    SECTION("without the flag")
    {
        step.allowsSpeculation = false;
    }
    SECTION("a gang")
    {
        step.isGang = true;
    }
    SECTION("long-running")
    {
        step.isLongRunning = true;
    }
    SECTION("on idle cores, slowed down on purpose")
    {
        step.usesIdleCores = true;
    }
    start(job);
    for (int round = 0; round < 3; ++round)
        CHECK(startsAfter(2 * kExpected).empty());
}

TEST_CASE_METHOD(SchedulerCopiesTest, "Scheduler_manyStragglers_copiesStayWithinTheBudget",
                 "[scheduler]")
{
    const std::vector<StartCommand> starts = start(copyableJob(1, 12));
    REQUIRE(starts.size() == 12);
    std::size_t copies = 0;
    for (int round = 0; round < 4; ++round)
        copies += startsAfter(2 * kExpected).size();
    CHECK(copies == 1); // a tenth of twelve
}

TEST_CASE_METHOD(SchedulerCopiesTest, "Scheduler_otherTaskWaitsForTheCapacity_noCopyStarts",
                 "[scheduler]")
{
    // Guards against copies that delay tasks that have no run at all.
    const WorkerId slow = start(copyableJob(1))[0].worker;
    scheduler.cordon({slow});
    submit(makeJob(3, "pool", {makeStep(1, Millis(60000))}));
    confirm(startsAfter(Millis(10)));
    scheduler.cordon({});
    StepSpec large = makeStep(1, kExpected);
    large.need.milliCores = 8000; // waits for an idle worker
    submit(makeJob(2, "pool", {large}));
    CHECK(startsAfter(3 * kExpected).empty());
    scheduler.cancel({2}, now);
    CHECK(startsAfter(kExpected).size() == 1);
}

TEST_CASE_METHOD(SchedulerCopiesTest, "Scheduler_waitingTaskFitsNoWorker_copiesStart",
                 "[scheduler]")
{
    // Guards against one task that can never start and ends all copies of its pool.
    start(copyableJob(1));
    StepSpec impossible = makeStep(1, kExpected);
    impossible.requiredLabel = "none";
    submit(makeJob(2, "pool", {impossible}));
    CHECK(startsAfter(3 * kExpected).size() == 1);
}

TEST_CASE_METHOD(SchedulerCopiesTest, "Scheduler_taskNearItsLimitOfFailures_isNotCopied",
                 "[scheduler]")
{
    // Guards against more failed runs than the queue allows: both runs may fail.
    JobSpec job = copyableJob(1);
    job.queue.maxAttempts = 3;
    std::vector<StartCommand> starts = start(job);
    endRun(starts[0], RunOutcome::Failed);
    starts = tick<StartCommand>();
    confirm(starts);
    const std::vector<StartCommand> copies = startsAfter(3 * kExpected);
    REQUIRE(copies.size() == 1); // one failure, and at most two more
    confirm(copies);
    endRun(copies[0], RunOutcome::Failed);
    CHECK(startsAfter(3 * kExpected).empty());
    CHECK(task().failures == 2);
    endRun(starts[0], RunOutcome::Failed);
    CHECK(scheduler.jobs().at({1}).state == JobState::Failed);
    CHECK(startsAfter(3 * kExpected).empty());
}

TEST_CASE_METHOD(SchedulerCopiesTest, "Scheduler_oneOfTwoRunsEnds_theOtherIsTheCurrentOne",
                 "[scheduler]")
{
    const bool isCopyLost = GENERATE(false, true);
    const std::vector<StartCommand> starts = start(copyableJob(1));
    const std::vector<StartCommand> copies = startsAfter(3 * kExpected);
    REQUIRE(copies.size() == 1);
    confirm(copies);
    const StartCommand &lost = isCopyLost ? copies[0] : starts[0];
    const StartCommand &kept = isCopyLost ? starts[0] : copies[0];
    scheduler.onWorkerTerminated(lost.worker, now, now);
    CHECK(task().isPlaced);
    CHECK(task().currentRun == kept.run);
    CHECK(task().worker == kept.worker);
    CHECK(task().copyRun == 0);
    CHECK(startsAfter(kExpected).empty()); // no third worker
    endRun(kept, RunOutcome::Failed);
    CHECK_FALSE(task().isPlaced);
    const std::vector<StartCommand> again = tick<StartCommand>();
    REQUIRE(again.size() == 1);
    CHECK(again[0].run > copies[0].run);
}

TEST_CASE_METHOD(SchedulerCopiesTest, "Scheduler_copyUnansweredWhenTheTaskIsDone_isStopped",
                 "[scheduler]")
{
    // Guards against a copy whose delayed start command takes effect after the end of its job.
    const std::vector<StartCommand> starts = start(copyableJob(1));
    const std::vector<StartCommand> copies = startsAfter(3 * kExpected);
    REQUIRE(copies.size() == 1);
    endRun(starts[0], RunOutcome::Done);
    scheduler.onStartResult(copies[0], CallResult::Unknown, now);
    const std::vector<StopCommand> stops = tick<StopCommand>();
    REQUIRE(stops.size() == 1);
    CHECK(stops[0].run == copies[0].run);
    CHECK(scheduler.workers().at(copies[0].worker).runs.size() == 1);
}

TEST_CASE_METHOD(SchedulerCopiesTest, "Scheduler_stopOfTheSlowRunTakesLong_delaysNoOtherTask",
                 "[scheduler]")
{
    // Guards against a step whose last tasks wait for the hanging worker of a done one.
    JobSpec job = copyableJob(1, 2);
    job.steps.front().need.milliCores = 8000;
    job.steps.front().maxPerWorker = 1;
    syncAllWorkers();
    scheduler.cordon({w2});
    submit(job);
    const std::vector<StartCommand> starts = tick<StartCommand>();
    REQUIRE(starts.size() == 1);
    confirm(starts);
    advance(Millis(100));
    scheduler.cordon({});
    std::vector<StartCommand> second = tick<StartCommand>();
    REQUIRE(second.size() == 1);
    confirm(second);
    endRun(second[0], RunOutcome::Failed); // its task waits while the other one is copied
    scheduler.cordon({w2});
    advance(3 * kExpected);
    tick<StartCommand>();
    endRun(starts[0], RunOutcome::Done);
    scheduler.cordon({});
    CHECK(tick<StartCommand>().size() == 1);
}

TEST_CASE_METHOD(SchedulerCopiesTest, "Scheduler_newOwnerFindsTwoRuns_keepsBothOnlyWhereAllowed",
                 "[scheduler]")
{
    const bool mayCopy = GENERATE(false, true);
    JobSpec job = copyableJob(1);
    job.steps.front().allowsSpeculation = mayCopy;
    scheduler.addJob(job, {.id = job.id, .isReleased = true}, true, now);
    const TaskId id{job.id, 0, 0, 0};
    std::int64_t run = 0;
    for (const PollRequest &request : tick<PollRequest>())
        answerPoll(request, {{.task = id, .run = ++run}});
    CHECK(tick<StopCommand>().size() == (mayCopy ? 0 : 1));
    CHECK(task().isPlaced);
    CHECK((task().copyRun != 0) == mayCopy);
    CHECK(scheduler.jobs().at({1}).occurrences[0].steps[0].placedTasks == 1);
}

TEST_CASE_METHOD(SchedulerCopiesTest, "Scheduler_progressShowsASlowRun_isCopiedEarly",
                 "[scheduler]")
{
    const std::vector<StartCommand> starts = start(copyableJob(1));
    const bool isSlow = GENERATE(false, true);
    advance(Millis(400));
    answerPoll(
        {.worker = starts[0].worker},
        {{.task = starts[0].task, .run = starts[0].run, .progressPercent = isSlow ? 12 : 70}});
    CHECK(tick<StartCommand>().size() == (isSlow ? 1 : 0));
}

TEST_CASE_METHOD(SchedulerCopiesTest, "Scheduler_lateRunIsNearlyDone_isNotCopied", "[scheduler]")
{
    const std::vector<StartCommand> starts = start(copyableJob(1));
    advance(3 * kExpected);
    answerPoll({.worker = starts[0].worker},
               {{.task = starts[0].task, .run = starts[0].run, .progressPercent = 80}});
    CHECK(tick<StartCommand>().empty());
}
