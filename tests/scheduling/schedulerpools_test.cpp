// Jobs whose queue gets another pool while their tasks run, and changes of owner after that.
#include "../support/schedulerfixture.h"

using namespace oleanderhall;
using namespace oleanderhall::test;

namespace {

/// w1 is in "pool", with which the jobs are accepted, and w2 in "other".
class SchedulerPoolsTest : public SchedulerTest
{
protected:
    SchedulerPoolsTest() { join(scheduler); }

    void join(Scheduler &owner) const
    {
        HostInfo second = makeHost("h2", w2);
        second.pool = PoolId("other");
        owner.setWorkers({makeWorker("w1", "pool", 8000), makeWorker("w2", "other", 8000)}, now);
        owner.updateHosts({makeHost("h1", w1), second}, now, now);
    }

    static JobSpec job()
    {
        JobSpec job = makeJob(1, "pool", {makeStep(2, Millis(5000))});
        job.config = {1};
        return job;
    }

    static void setPool(Scheduler &owner, std::uint64_t version, const char *pool)
    {
        QueueConfig queue = job().queue;
        queue.pool = PoolId(pool);
        owner.setQueues({version}, {queue});
    }

    /// Confirms all writes so far.
    void confirmWrites()
    {
        for (const ProgressWrite &pending : std::exchange(writes, {}))
            scheduler.onProgressWritten(pending.batch, true, now);
    }

    /// Lets `owner` act for `time`. Workers answer polls, but for the one that is `unread`. Returns
    /// the number of starts.
    int runOwner(Scheduler &owner, Millis time, WorkerId unread = {})
    {
        int starts = 0;
        for (const Instant end = now + time; now < end; advance(Millis(10))) {
            for (const SchedulerAction &action : owner.tick(now, 0)) {
                starts += std::holds_alternative<StartCommand>(action) ? 1 : 0;
                if (const auto *write = std::get_if<ProgressWrite>(&action))
                    owner.onProgressWritten(write->batch, true, now);
                if (const auto *poll = std::get_if<PollRequest>(&action))
                    owner.onPollResult(
                        *poll, poll->worker == unread ? CallResult::Unknown : CallResult::Ok,
                        {.clock = Millis(1)}, now, now);
            }
        }
        return starts;
    }

    Scheduler successor{SchedulerSettings{}, 1, now};
};

} // namespace

TEST_CASE_METHOD(SchedulerPoolsTest,
                 "Scheduler_queueGotAnotherPoolBeforeTakeOver_waitsForWorkersOfTheFirstPool",
                 "[scheduler]")
{
    // Guards against tasks that start twice (review case 1): the new owner waited only for the
    // workers of the queue's present pool, while the runs were on those of its former pool.
    const bool isKnownAtFirst = GENERATE(true, false);
    join(successor);
    if (isKnownAtFirst)
        setPool(successor, 2, "other");
    successor.addJob(job(), {.id = {1}, .isReleased = true}, true, now);
    if (!isKnownAtFirst)
        setPool(successor, 2, "other");
    CHECK(runOwner(successor, Millis(500), w1) == 0);
    CHECK(runOwner(successor, Millis(500)) == 2);
}

TEST_CASE_METHOD(SchedulerPoolsTest, "Scheduler_queueGetsAnotherPool_startsThereOnceThatIsRecorded",
                 "[scheduler]")
{
    // Guards against runs that a later owner doesn't look for: tasks started in a pool that the
    // stored job doesn't name.
    syncAllWorkers();
    JobSpec submitted = job();
    submitted.steps.push_back(makeStep(1, Millis(100), {0}));
    submit(submitted);
    const std::vector<StartCommand> first = tick<StartCommand>();
    REQUIRE(first.size() == 2);
    confirm(first);
    setPool(scheduler, 2, "other");
    std::vector<EndedRun> ends;
    for (const StartCommand &start : first)
        ends.push_back({.sequence = static_cast<std::int64_t>(ends.size()) + 1,
                        .task = start.task,
                        .run = start.run,
                        .runOutcome = RunOutcome::Done});
    advance(Millis(100));
    answerPoll({.worker = w1}, {}, ends);
    confirmWrites();
    CHECK(tick<StartCommand>().empty());
    REQUIRE_FALSE(writes.empty());
    REQUIRE(writes.back().updates.size() == 1);
    const JobProgress record = writes.back().updates[0];
    confirmWrites();
    advance(Millis(100));
    CHECK(tick<StartCommand>().size() == 1);

    // The successor, which knows only the version that removed the queue, waits for both pools.
    join(successor);
    submitted.steps.front().count = 2;
    successor.addJob(submitted, record, true, now);
    CHECK(runOwner(successor, Millis(500), w2) == 0);
    CHECK(runOwner(successor, Millis(500)) == 1);
}

TEST_CASE_METHOD(SchedulerPoolsTest,
                 "Scheduler_releaseInFlightWhenThePoolChanges_doesNotCountForTheNewPool",
                 "[scheduler]")
{
    // Guards against runs that a later owner doesn't look for: the answered write released the job
    // only into the pool that its queue had when the write was sent.
    syncAllWorkers();
    scheduler.addJob(job(), {.id = {1}}, false, now);
    tick<StartCommand>();
    advance(Millis(100));
    tick<StartCommand>();
    REQUIRE(writes.size() == 1);
    setPool(scheduler, 2, "other");
    confirmWrites();
    CHECK(tick<StartCommand>().empty());
    advance(Millis(100));
    tick<StartCommand>();
    REQUIRE(writes.size() == 1);
    confirmWrites();
    CHECK(tick<StartCommand>().size() == 2);
}

TEST_CASE_METHOD(SchedulerPoolsTest, "Scheduler_queueOfACopyGotAnotherPool_copyWaitsForTheRecord",
                 "[scheduler]")
{
    // Guards against copies that a later owner doesn't look for.
    syncAllWorkers();
    JobSpec submitted = job();
    submitted.steps = {makeStep(1, Millis(100))};
    submitted.steps.front().allowsSpeculation = true;
    submit(submitted);
    const std::vector<StartCommand> starts = tick<StartCommand>();
    REQUIRE(starts.size() == 1);
    confirm(starts);
    setPool(scheduler, 2, "other");
    JobSpec staying = makeJob(2, "pool", {makeStep(1, Millis(60000))});
    staying.queue.name = "staying"; // so that the pool's stragglers are looked for
    submit(staying);
    advance(Millis(10));
    const std::vector<StartCommand> others = tick<StartCommand>();
    REQUIRE(others.size() == 1);
    confirm(others);
    for (int step = 0; step < 200; ++step, advance(Millis(10))) {
        CHECK(tick<StartCommand>().empty());
        for (const PollRequest &request : std::exchange(polls, {})) {
            if (request.worker == w1)
                answerPoll(request,
                           {{.task = starts[0].task, .run = starts[0].run},
                            {.task = others[0].task, .run = others[0].run}});
            else
                answerPoll(request);
        }
        confirmWrites();
    }
}
