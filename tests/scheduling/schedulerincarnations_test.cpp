// Workers that restart under their previous id. Their runs are gone, they count ended runs from 1
// and their clocks start anew, while messages of the earlier process may still arrive.
#include "../support/schedulerfixture.h"

using namespace oleanderhall;
using namespace oleanderhall::test;

namespace {

class SchedulerIncarnationsTest : public SchedulerTest
{
protected:
    static constexpr WorkerStartTime kFirst{1000};
    static constexpr WorkerStartTime kSecond{2000};

    SchedulerIncarnationsTest() { list(kFirst); }

    /// Lists w1 with the start time `started`, and w2.
    void list(WorkerStartTime started)
    {
        WorkerInfo worker = makeWorker("w1", "pool", 8000);
        worker.started = started;
        scheduler.setWorkers({worker, makeWorker("w2", "pool", 8000)}, now);
    }

    /// Starts a task on w1 and returns its start.
    StartCommand startOnFirstWorker(bool isConfirmed = true)
    {
        syncAllWorkers();
        scheduler.cordon({w2});
        submit(makeJob(1, "pool", {makeStep(1, Millis(5000))}));
        const std::vector<StartCommand> starts = tick<StartCommand>();
        REQUIRE(starts.size() == 1);
        if (isConfirmed)
            confirm(starts);
        scheduler.cordon({});
        return starts[0];
    }

    /// Answers a poll as the incarnation `started`, whose clock shows `clock`.
    void answer(const PollRequest &request, WorkerStartTime started, Millis clock,
                std::vector<ActiveRun> running, std::vector<EndedRun> ended = {})
    {
        scheduler.onPollResult(request, CallResult::Ok,
                               {.clock = clock,
                                .started = started,
                                .running = std::move(running),
                                .ended = std::move(ended)},
                               now, now);
    }

    /// Lets time pass until w1 is polled by a request meant for its second incarnation.
    PollRequest pollOfSecond()
    {
        for (const PollRequest &sent : std::exchange(polls, {})) {
            if (sent.worker == w1 && sent.started == kSecond)
                return sent;
        }
        PollRequest poll = nextPoll(w1);
        if (poll.started != kSecond) {
            answerPoll(poll, {}, {}, CallResult::Unknown); // its connection is gone
            poll = nextPoll(w1);
        }
        CHECK(poll.started == kSecond);
        return poll;
    }

    static ActiveRun activeRun(const StartCommand &start)
    {
        return {.task = start.task, .run = start.run, .progressPercent = 10};
    }
    static EndedRun endedRun(const StartCommand &start, std::int64_t sequence)
    {
        return {.sequence = sequence,
                .task = start.task,
                .run = start.run,
                .runOutcome = RunOutcome::Done};
    }
    const WorkerState &first() const { return scheduler.workers().at(w1); }
};

} // namespace

TEST_CASE_METHOD(SchedulerIncarnationsTest, "Scheduler_laterStartTimeListed_reportedRunsStartAgain",
                 "[scheduler]")
{
    // Guards against tasks of a restarted worker that are taken for running.
    const StartCommand start = startOnFirstWorker();
    answerPoll(nextPoll(w1), {activeRun(start)});
    list(kSecond);
    const std::vector<StartCommand> again = tick<StartCommand>();
    REQUIRE(again.size() == 1);
    CHECK(again[0].worker == w2);
    CHECK(again[0].run > start.run);
}

TEST_CASE_METHOD(SchedulerIncarnationsTest,
                 "Scheduler_laterStartTimeInStatus_reportedRunsStartAgain", "[scheduler]")
{
    // The status may come before the new entry in service discovery.
    const StartCommand start = startOnFirstWorker();
    answerPoll(nextPoll(w1), {activeRun(start)});
    answer(nextPoll(w1), kSecond, Millis(1200), {});
    list(kFirst); // the entry is still the old one
    CHECK(first().info.started == kSecond);
    CHECK(tick<StartCommand>().size() == 1);
}

TEST_CASE_METHOD(SchedulerIncarnationsTest, "Scheduler_restartedWorker_countsItsEndsFromOne",
                 "[scheduler]")
{
    // Guards against ends of the new process that are taken for known ones, so that their tasks
    // never complete or run again.
    const StartCommand start = startOnFirstWorker();
    answerPoll(nextPoll(w1), {}, {endedRun(start, 58)});
    list(kSecond);
    const PollRequest poll = pollOfSecond();
    CHECK(poll.acknowledgedEnd == 0);
    answer(poll, kSecond, Millis(1200), {});
    scheduler.cordon({w2});
    submit(makeJob(2, "pool", {makeStep(1, Millis(5000))}));
    const std::vector<StartCommand> starts = tick<StartCommand>();
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].leaseExpiry < Millis(10000)); // on the new clock
    confirm(starts);
    answer(nextPoll(w1), kSecond, Millis(2000), {}, {endedRun(starts[0], 1)});
    CHECK(scheduler.jobs().at({2}).state == JobState::Completed);
}

TEST_CASE_METHOD(SchedulerIncarnationsTest, "Scheduler_statusOfTheEarlierProcess_changesNothing",
                 "[scheduler]")
{
    // Guards against a delayed status that ends runs of the new process or mixes two clocks.
    startOnFirstWorker();
    const PollRequest delayed = nextPoll(w1);
    list(kSecond);
    answer(delayed, kFirst, Millis(99999), {});
    const PollRequest poll = pollOfSecond();
    CHECK(poll.leaseExpiry == Millis(0)); // its clock isn't known yet
    answer(poll, kSecond, Millis(1200), {});
    CHECK(first().clock.estimatedTime(now) == Millis(1200));
    CHECK(first().isSynced);
}

TEST_CASE_METHOD(SchedulerIncarnationsTest,
                 "Scheduler_answersToCommandsForTheEarlierProcess_endNoRunsOfTheNewOne",
                 "[scheduler]")
{
    startOnFirstWorker();
    const PollRequest delayedPoll = nextPoll(w1);
    list(kSecond);
    scheduler.onPollResult(delayedPoll, CallResult::OtherIncarnation, {}, now, now);
    answer(pollOfSecond(), kSecond, Millis(1200), {});
    scheduler.cordon({w2});
    submit(makeJob(2, "pool", {makeStep(1, Millis(5000))}));
    const std::vector<StartCommand> starts = tick<StartCommand>();
    REQUIRE_FALSE(starts.empty());
    confirm(starts);
    StopCommand delayed{.worker = w1, .started = kFirst, .task = starts[0].task, .run = 1};
    scheduler.onStopResult(delayed, CallResult::OtherIncarnation, now);
    CHECK_FALSE(first().hasTerminated);
    CHECK(first().runs.size() == starts.size());
}

TEST_CASE_METHOD(SchedulerIncarnationsTest,
                 "Scheduler_startMayHaveReachedTheNewProcess_taskWaitsForItsStatus", "[scheduler]")
{
    // Guards against two runs of a task: the start that was sent just before the restart became
    // known may have been executed by either process.
    const bool isConfirmed = GENERATE(false, true);
    const bool isRunning = GENERATE(false, true);
    const StartCommand start = startOnFirstWorker(isConfirmed);
    list(kSecond);
    for (const StartCommand &other : tick<StartCommand>())
        CHECK(other.worker == w1);
    if (!isConfirmed)
        scheduler.onStartResult(start, CallResult::Ok, now);
    CHECK(tick<StartCommand>().empty());
    advance(Millis(10));
    const PollRequest poll = pollOfSecond();
    advance(Millis(10));
    std::vector<ActiveRun> running;
    if (isRunning)
        running.push_back(activeRun(start));
    answer(poll, kSecond, Millis(1200), running);
    CHECK(tick<StartCommand>().size() == (isRunning ? 0 : 1));
    CHECK(first().clock.confirmedExpiry() < Millis(10000)); // not as on the earlier clock
}

TEST_CASE_METHOD(SchedulerIncarnationsTest,
                 "Scheduler_stopConfirmedByTheEarlierProcess_isSentToTheNewOne", "[scheduler]")
{
    // Guards against a run that the new process starts late although it was stopped in the old one.
    const StartCommand start = startOnFirstWorker(false);
    scheduler.onStartResult(start, CallResult::Unknown, now);
    scheduler.cancel({1}, now);
    const std::vector<StopCommand> stops = tick<StopCommand>();
    REQUIRE(stops.size() == 1);
    scheduler.onStopResult(stops[0], CallResult::Ok, now);
    list(kSecond);
    const std::vector<StopCommand> again = tick<StopCommand>();
    REQUIRE(again.size() == 1);
    CHECK(again[0].started == kSecond);
}

TEST_CASE_METHOD(SchedulerIncarnationsTest, "Scheduler_restartedWorkerStaysSilent_givesItsRunsUp",
                 "[scheduler]")
{
    // Guards against a task that waits forever for a process that never answers.
    startOnFirstWorker();
    list(kSecond);
    bool isStartedElsewhere = false;
    Instant begin = now;
    for (; now < begin + Millis(20000) && !isStartedElsewhere; advance(Millis(10))) {
        for (const StartCommand &start : tick<StartCommand>())
            isStartedElsewhere = isStartedElsewhere || start.worker == w2;
        for (const PollRequest &request : std::exchange(polls, {}))
            answerPoll(request, {}, {},
                       request.worker == w1 ? CallResult::Unknown : CallResult::Ok);
    }
    CHECK(isStartedElsewhere);
    CHECK(now - begin > SchedulerSettings{}.maxWorkerLease);
}

TEST_CASE_METHOD(SchedulerIncarnationsTest, "Scheduler_workerRestartsAfterItTerminated_isUsedAgain",
                 "[scheduler]")
{
    syncAllWorkers();
    scheduler.updateHosts({makeHost("h1", WorkerId()), makeHost("h2", w2)}, now, now);
    REQUIRE(first().hasTerminated);
    advance(Millis(10));
    list(kSecond);
    // A list of hosts that doesn't show the new process yet says nothing about it.
    scheduler.updateHosts({makeHost("h1", WorkerId()), makeHost("h2", w2)}, now, now);
    CHECK_FALSE(first().hasTerminated);
    answer(pollOfSecond(), kSecond, Millis(1200), {});
    CHECK(first().acceptsNewTasks(now));
}

TEST_CASE_METHOD(SchedulerIncarnationsTest, "Scheduler_longIdleWorker_firstPollAcknowledgesNothing",
                 "[scheduler]")
{
    // Guards against a lost end: a worker that restarted while it was idle would discard its first
    // ends when it is told the numbers of the earlier process.
    const StartCommand start = startOnFirstWorker();
    answerPoll(nextPoll(w1), {}, {endedRun(start, 7)});
    for (int step = 0; step < 100; ++step) {
        for (const PollRequest &request : tick<PollRequest>())
            answerPoll(request);
        for (const ProgressWrite &pending : std::exchange(writes, {}))
            scheduler.onProgressWritten(pending.batch, true, now);
        advance(Millis(20));
    }
    REQUIRE(first().lastAcknowledgedEnd == 7);
    scheduler.cordon({w2});
    submit(makeJob(2, "pool", {makeStep(1, Millis(5000))}));
    confirm(tick<StartCommand>());
    CHECK(nextPoll(w1).acknowledgedEnd == 0);
}
