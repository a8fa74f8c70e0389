// What the Scheduler does while its owner's knowledge of the cancellations is old.
#include "../support/schedulerfixture.h"

using namespace oleanderhall;
using namespace oleanderhall::test;

namespace {

class StartGateOfSchedulerTest : public SchedulerTest
{
protected:
    /// Lets the last read of the cancellations have been sent `age` ago.
    void setFactsAge(Millis age)
    {
        gate.onCancellationsRead(now - age);
        scheduler.setStartGate(gate);
    }
    void submitJob(std::uint64_t id) { submit(makeJob(id, "pool", {makeStep(1, Millis(100))})); }
    Millis workerClock() const
    {
        return std::chrono::duration_cast<Millis>(now.time_since_epoch());
    }

    StartGate gate{Millis(4000)};
};

} // namespace

TEST_CASE_METHOD(StartGateOfSchedulerTest, "Scheduler_oldFacts_startsWaitAndPollsGoOn",
                 "[scheduling]")
{
    syncAllWorkers();
    setFactsAge(Millis(0));
    submitJob(1);
    const auto running = tick<StartCommand>();
    REQUIRE(running.size() == 1);
    confirm(running);
    advance(Millis(3300));
    scheduler.setStartGate(gate);
    submitJob(2);
    polls.clear();
    CHECK(tick<StartCommand>().empty());
    CHECK_FALSE(polls.empty());
    CHECK(polls.front().leaseExpiry > Millis(0));
    setFactsAge(Millis(500));
    CHECK(tick<StartCommand>().size() == 1);
}

TEST_CASE_METHOD(StartGateOfSchedulerTest, "Scheduler_oldFacts_repeatsNoUnansweredStart",
                 "[scheduling]")
{
    syncAllWorkers();
    setFactsAge(Millis(3000));
    submitJob(1);
    const auto starts = tick<StartCommand>();
    REQUIRE(starts.size() == 1);
    scheduler.onStartResult(starts.front(), CallResult::Unknown, now);
    advance(Millis(300));
    CHECK(tick<StartCommand>().empty());
    setFactsAge(Millis(0));
    const auto repeated = tick<StartCommand>();
    REQUIRE(repeated.size() == 1);
    CHECK(repeated.front().run == starts.front().run);
}

TEST_CASE_METHOD(StartGateOfSchedulerTest, "Scheduler_start_isRefusedByTheWorkerOnceFactsAreTooOld",
                 "[scheduling]")
{
    // Guards against commands that are delivered or carried out seconds late.
    syncAllWorkers();
    setFactsAge(Millis(1000));
    submitJob(1);
    const auto starts = tick<StartCommand>();
    REQUIRE(starts.size() == 1);
    // 2.9 s remain, less the drift of a clock that was read 400 ms ago.
    CHECK(starts.front().leaseExpiry == workerClock() + Millis(2900 - 8));
}

TEST_CASE_METHOD(StartGateOfSchedulerTest, "Scheduler_startWithheld_startsTheTaskLater",
                 "[scheduling]")
{
    syncAllWorkers();
    setFactsAge(Millis(0));
    submitJob(1);
    const auto starts = tick<StartCommand>();
    REQUIRE(starts.size() == 1);
    scheduler.onStartResult(starts.front(), CallResult::Withheld, now);
    const auto again = tick<StartCommand>();
    REQUIRE(again.size() == 1);
    CHECK(again.front().run > starts.front().run);
}

TEST_CASE_METHOD(StartGateOfSchedulerTest, "Scheduler_idleWorker_isPolledToReadItsClock",
                 "[scheduling]")
{
    // Guards against starts on an idle worker that are refused as late for ever: the lower bound of
    // its clock falls behind by 2 % of the time since its last status.
    syncAllWorkers();
    polls.clear();
    advance(Millis(29000));
    tick<PollRequest>();
    CHECK(polls.empty());
    advance(Millis(1000));
    tick<PollRequest>();
    CHECK(polls.size() == 2);
}
