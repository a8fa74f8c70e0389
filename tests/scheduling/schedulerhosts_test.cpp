// Workers that have terminated, as lists of hosts show it. The load: hosts of a pool are moved or
// crash while a queue is in its burst, and the owner changes or waits for leases.
#include "../support/schedulerfixture.h"

using namespace oleanderhall;
using namespace oleanderhall::test;

namespace {

class SchedulerHostsTest : public SchedulerTest
{
protected:
    SchedulerHostsTest()
    {
        successor.setWorkers({makeWorker("w1", "pool", 8000), makeWorker("w2", "pool", 8000)}, now);
    }

    /// Lets the successor, which inherits a job that may run on any worker, act for `time`. w1
    /// answers, and w2 refuses connections. Returns the number of starts.
    int runSuccessor(Millis time)
    {
        int starts = 0;
        for (const Instant end = now + time; now < end; advance(Millis(10))) {
            for (const SchedulerAction &action : successor.tick(now, 0)) {
                starts += std::holds_alternative<StartCommand>(action) ? 1 : 0;
                if (const auto *poll = std::get_if<PollRequest>(&action))
                    successor.onPollResult(
                        *poll, poll->worker == w1 ? CallResult::Ok : CallResult::NotSent,
                        {.clock = Millis(1)}, now, now);
            }
        }
        return starts;
    }

    void inheritJob()
    {
        const JobSpec job = makeJob(1, "pool", {makeStep(1, Millis(100))});
        successor.addJob(job, {.id = job.id, .isReleased = true}, true, now);
    }

    Scheduler successor{SchedulerSettings{}, 1, now};
};

} // namespace

TEST_CASE_METHOD(SchedulerHostsTest,
                 "Scheduler_workerMovedBeforeTakeOver_inheritedTaskStartsAfterAFailedPoll",
                 "[scheduler]")
{
    // The entry of w2 in service discovery outlives it by seconds.
    inheritJob();
    successor.updateHosts({makeHost("h1", w1), makeHost("h2", WorkerId())}, now - Millis(1), now);
    CHECK(runSuccessor(Millis(100)) == 1);
}

TEST_CASE_METHOD(SchedulerHostsTest,
                 "Scheduler_workerMovedDuringTakeOver_inheritedTaskStartsWithTheNextList",
                 "[scheduler]")
{
    inheritJob();
    successor.updateHosts({makeHost("h1", w1), makeHost("h2", w2)}, now - Millis(1), now);
    CHECK(runSuccessor(Millis(1000)) == 0);
    successor.updateHosts({makeHost("h1", w1), makeHost("h2", WorkerId())}, now, now);
    CHECK(runSuccessor(Millis(100)) == 1);
}

TEST_CASE_METHOD(SchedulerHostsTest, "Scheduler_silentWorkerIsStillOnItsHost_inheritedTaskWaits",
                 "[scheduler]")
{
    inheritJob();
    successor.updateHosts({makeHost("h1", w1), makeHost("h2", w2)}, now - Millis(1), now);
    for (int list = 0; list < 10; ++list) {
        CHECK(runSuccessor(Millis(300)) == 0);
        successor.updateHosts({makeHost("h1", w1), makeHost("h2", w2)}, now, now);
    }
}

TEST_CASE_METHOD(SchedulerHostsTest,
                 "Scheduler_hostOfASilentWorkerIsDown_tasksStartElsewhereBeforeLeasesExpire",
                 "[scheduler]")
{
    syncAllWorkers();
    submit(makeJob(1, "pool", {makeStep(1, Millis(5000))}));
    const std::vector<StartCommand> starts = tick<StartCommand>();
    REQUIRE(starts.size() == 1);
    confirm(starts);
    const bool isOnFirst = starts[0].worker == w1;
    advance(Millis(300));
    CHECK(tick<StartCommand>().empty());
    scheduler.updateHosts(
        {makeHost("h1", isOnFirst ? WorkerId() : w1), makeHost("h2", isOnFirst ? w2 : WorkerId())},
        now, now);
    const std::vector<StartCommand> again = tick<StartCommand>();
    REQUIRE(again.size() == 1);
    CHECK(again[0].worker != starts[0].worker);
    CHECK(again[0].run > starts[0].run);
}

TEST_CASE_METHOD(SchedulerHostsTest, "Scheduler_listOfHostsPredatesAWorker_workerKeepsItsRuns",
                 "[scheduler]")
{
    const std::vector<HostInfo> old{makeHost("h1", w1), makeHost("h2", w2)};
    const Instant requested = now;
    advance(Millis(100));
    syncAllWorkers();
    const WorkerId joined("w3");
    scheduler.setWorkers({makeWorker("w3", "pool", 8000)}, now);
    for (const PollRequest &request : tick<PollRequest>())
        answerPoll(request);
    submit(makeJob(1, "pool", {makeStep(1, Millis(5000))}));
    const std::vector<StartCommand> starts = tick<StartCommand>();
    REQUIRE(starts.size() == 1);
    REQUIRE(starts[0].worker == joined);
    confirm(starts);
    scheduler.updateHosts(old, requested, now);
    CHECK(tick<StartCommand>().empty());
    CHECK(scheduler.workers().at(joined).runs.size() == 1);
}

TEST_CASE_METHOD(SchedulerHostsTest, "Scheduler_lateAnswerOfATerminatedWorker_changesNothing",
                 "[scheduler]")
{
    syncAllWorkers();
    submit(makeJob(1, "pool", {makeStep(1, Millis(5000))}));
    const std::vector<StartCommand> starts = tick<StartCommand>();
    REQUIRE(starts.size() == 1);
    confirm(starts);
    const PollRequest poll = nextPoll(starts[0].worker);
    scheduler.onWorkerTerminated(starts[0].worker, now, now);
    answerPoll(poll, {{.task = starts[0].task, .run = starts[0].run}});
    CHECK(scheduler.workers().at(starts[0].worker).runs.empty());
}
