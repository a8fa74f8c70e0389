// Workers whose capacity changes while they run. The load: runs that no longer fit their worker,
// and waiting tasks that no longer fit any.
#include "../support/schedulerfixture.h"

#include <algorithm>

using namespace oleanderhall;
using namespace oleanderhall::test;

namespace {

class SchedulerCapacityTest : public SchedulerTest
{
protected:
    static JobSpec jobOfSize(std::uint64_t id, int count, std::int64_t milliCores)
    {
        StepSpec step = makeStep(count, Millis(100));
        step.need.milliCores = milliCores;
        return makeJob(id, "pool", {step});
    }

    /// Sets the number of millicores of both workers.
    void resize(std::int64_t first, std::int64_t second)
    {
        scheduler.setWorkers({makeWorker("w1", "pool", first), makeWorker("w2", "pool", second)},
                             now);
    }

    template <typename Action>
    static std::vector<Action> only(const std::vector<SchedulerAction> &actions)
    {
        std::vector<Action> result;
        for (const SchedulerAction &action : actions) {
            if (const auto *wanted = std::get_if<Action>(&action))
                result.push_back(*wanted);
        }
        return result;
    }

    static std::int64_t countOn(const std::vector<StartCommand> &starts, WorkerId worker)
    {
        return std::count_if(starts.begin(), starts.end(),
                             [&](const StartCommand &start) { return start.worker == worker; });
    }
};

} // namespace

TEST_CASE_METHOD(SchedulerCapacityTest, "Scheduler_workerShrinksBelowItsRuns_startsNothingThere",
                 "[scheduler][capacity]")
{
    // Guards against a negative free capacity that is taken for room, and against runs being
    // stopped that no longer count.
    syncAllWorkers();
    submit(jobOfSize(1, 1, 6000));
    const std::vector<StartCommand> starts = tick<StartCommand>();
    REQUIRE(starts.size() == 1);
    REQUIRE(starts[0].worker == w1);
    confirm(starts);
    const bool isStopping = GENERATE(false, true);
    if (isStopping)
        scheduler.cancel({1}, now);
    resize(4000, 0);
    submit(jobOfSize(2, 4, 1000));
    advance(Millis(10));
    CHECK(tick<StartCommand>().empty());
    resize(7000, 0);
    CHECK(countOn(tick<StartCommand>(), w1) == 1);
}

TEST_CASE_METHOD(SchedulerCapacityTest, "Scheduler_workerShrinksBeforeItIsRead_countsItsRuns",
                 "[scheduler][capacity]")
{
    // Guards against starts beside the runs of an earlier owner that exceed the capacity.
    resize(3000, 0);
    const JobSpec job = jobOfSize(1, 2, 2000);
    scheduler.addJob(job, {.id = job.id, .state = JobState::Running, .isReleased = true}, true,
                     now);
    for (const PollRequest &request : tick<PollRequest>()) {
        if (request.worker == w1)
            answerPoll(request,
                       {{.task = {{1}, 0, 0, 0}, .run = 1}, {.task = {{1}, 0, 0, 1}, .run = 1}});
        else
            answerPoll(request);
    }
    submit(jobOfSize(2, 4, 1000));
    advance(Millis(10));
    CHECK(tick<StartCommand>().empty());
    CHECK(tick<StopCommand>().empty());
    resize(6000, 0);
    CHECK(countOn(tick<StartCommand>(), w1) == 2);
}

TEST_CASE_METHOD(SchedulerCapacityTest, "Scheduler_workerShrinks_takesNoCopies",
                 "[scheduler][capacity]")
{
    // Guards against a copy that finds room only by an outdated capacity.
    syncAllWorkers();
    JobSpec job = jobOfSize(1, 1, 2000);
    job.steps.front().allowsSpeculation = true;
    submit(std::move(job));
    const std::vector<StartCommand> starts = tick<StartCommand>();
    REQUIRE(starts.size() == 1);
    confirm(starts);
    const std::int64_t otherSize = GENERATE(1000, 2000);
    resize(starts[0].worker == w1 ? 8000 : otherSize, starts[0].worker == w1 ? otherSize : 8000);
    advance(Millis(1500));
    CHECK(tick<StartCommand>().size() == (otherSize == 2000 ? 1 : 0));
}

TEST_CASE_METHOD(SchedulerCapacityTest,
                 "Scheduler_workerShrinksBeforeAStartIsRepeated_isNotOverloaded",
                 "[scheduler][capacity]")
{
    // Guards against a repeated start that brings a worker over the capacity it has left.
    const bool isGang = GENERATE(false, true);
    const std::int64_t left = GENERATE(4000, 8000);
    syncAllWorkers();
    JobSpec job = jobOfSize(1, 2, 4000);
    job.steps.front().isGang = isGang;
    submit(std::move(job));
    const std::vector<StartCommand> starts = tick<StartCommand>();
    REQUIRE(countOn(starts, w1) == 2);
    for (const StartCommand &start : starts)
        scheduler.onStartResult(start, CallResult::Unknown, now);
    resize(left, 8000);
    advance(SchedulerSettings{}.commandRetryDelay);
    const std::vector<SchedulerAction> first = scheduler.tick(now, 0);
    if (left == 8000) {
        CHECK(only<StartCommand>(first).size() == 2);
        return;
    }
    CHECK(only<StartCommand>(first).empty());
    CHECK(tick<StopCommand>().empty()); // the runs may be at work
    answerPoll({.worker = w1}); // they aren't
    const std::vector<StopCommand> stops = tick<StopCommand>();
    REQUIRE(stops.size() == 2);
    for (const StopCommand &stop : stops)
        scheduler.onStopResult(stop, CallResult::Ok, now);
    advance(Millis(10));
    answerPoll({.worker = w1});
    const std::vector<StartCommand> next = tick<StartCommand>();
    CHECK(next.size() == 2);
    CHECK(countOn(next, w1) <= 1);
}

TEST_CASE_METHOD(SchedulerCapacityTest, "Scheduler_reservedWorkerShrinks_takesOtherTasksAgain",
                 "[scheduler][capacity][teams]")
{
    // Guards against a worker that stays reserved, and idle, for a task that it can't hold.
    const TeamId large{"large"};
    const TeamId small{"small"};
    scheduler.setTeams({1}, {{.id = large, .weight = 1}, {.id = small, .weight = 1}}, now);
    syncAllWorkers();
    JobSpec job = jobOfSize(1, 100, 1000);
    job.team = small;
    submit(std::move(job));
    const std::vector<StartCommand> starts = tick<StartCommand>();
    REQUIRE(starts.size() == 16);
    confirm(starts);
    job = jobOfSize(2, 1, 6000);
    job.team = large;
    submit(std::move(job));
    const auto isReserved = [&] {
        const std::vector<Decision> decisions = scheduler.takeDecisions();
        return std::any_of(decisions.begin(), decisions.end(), [](const Decision &decision) {
            return std::string(decision.event) == "workers_reserved";
        });
    };
    scheduler.takeDecisions();
    for (int step = 0; step < 12; ++step) {
        CHECK(tick<StartCommand>().empty());
        advance(Millis(100));
    }
    REQUIRE(isReserved());
    resize(4000, 4000);
    for (const WorkerId id : {w1, w2}) {
        std::vector<EndedRun> ended;
        for (const StartCommand &start : starts) {
            if (start.worker == id)
                ended.push_back({.sequence = static_cast<std::int64_t>(ended.size()) + 1,
                                 .task = start.task,
                                 .run = start.run,
                                 .runOutcome = RunOutcome::Done});
        }
        answerPoll({.worker = id}, {}, ended);
    }
    const std::vector<StartCommand> next = tick<StartCommand>();
    CHECK(countOn(next, w1) == 4);
    CHECK(countOn(next, w2) == 4);
}

TEST_CASE_METHOD(SchedulerCapacityTest,
                 "Scheduler_runOfAnEndedJobIsBeingStopped_startsNothingBeside",
                 "[scheduler][capacity]")
{
    // Guards against starts beside a run of unknown size, which an earlier owner has started.
    resize(8000, 0);
    const bool isRecorded = GENERATE(false, true);
    if (isRecorded)
        scheduler.addJob({.id = {1}}, {.id = {1}, .state = JobState::Cancelled}, true, now);
    for (const PollRequest &request : tick<PollRequest>()) {
        if (request.worker == w1)
            answerPoll(request, {{.task = {{1}, 0, 0, 0}, .run = 1}});
        else
            answerPoll(request);
    }
    submit(jobOfSize(2, 8, 1000));
    const std::vector<SchedulerAction> actions = scheduler.tick(now, 0);
    CHECK(only<StartCommand>(actions).empty());
    const std::vector<StopCommand> stops = only<StopCommand>(actions);
    REQUIRE(stops.size() == 1);
    scheduler.onStopResult(stops[0], CallResult::Ok, now);
    advance(Millis(10));
    answerPoll({.worker = w1});
    CHECK(tick<StartCommand>().size() == 8);
}

TEST_CASE_METHOD(SchedulerCapacityTest, "Scheduler_manyTasksFitNoWorkerAnyMore_othersStart",
                 "[scheduler][capacity]")
{
    // Guards against tasks that no worker can hold delaying those that would fit.
    constexpr std::uint64_t kLargeJobs = 60;
    syncAllWorkers();
    resize(4000, 4000);
    for (std::uint64_t id = 1; id <= kLargeJobs; ++id)
        submit(jobOfSize(id, 1, 6000));
    JobSpec job = jobOfSize(kLargeJobs + 1, 8, 1000);
    job.queue.priority = 9;
    submit(std::move(job));
    CHECK(tick<StartCommand>().size() == 8);
    resize(4000, 12000);
    advance(Millis(200));
    CHECK(countOn(tick<StartCommand>(), w2) == 1);
}

TEST_CASE_METHOD(SchedulerCapacityTest, "Scheduler_workerShrinksBeforeATakeOver_capCountsItsRuns",
                 "[scheduler][capacity][teams]")
{
    // Guards against a cap that is exceeded because the runs of an unread worker count only as far
    // as they fit into the capacity that it has left.
    const TeamId team{"a"};
    Scheduler next(SchedulerSettings{}, 1, now);
    next.setTeams({1}, {{.id = team, .weight = 1, .maxRunning = {.milliCores = 10000}}}, now);
    next.setWorkers({makeWorker("w1", "pool", 2000), makeWorker("w2", "pool", 16000)}, now);
    HostInfo shrunk = makeHost("h1", w1);
    shrunk.capacity = {.milliCores = 8000, .memoryMb = 100000};
    next.updateHosts({shrunk, makeHost("h2", w2)}, now, now);
    JobSpec job = jobOfSize(1, 8, 1000);
    job.team = team;
    next.addJob(job, {.id = job.id, .state = JobState::Running, .isReleased = true}, true, now);
    job = jobOfSize(2, 8, 1000);
    job.team = team;
    advance(Millis(3000));
    next.addJob(job, {.id = job.id, .isReleased = true}, false, now);
    const WorkerStatus status{.clock = std::chrono::duration_cast<Millis>(now.time_since_epoch())};
    next.onPollResult({.worker = w2}, CallResult::Ok, status, now, now);
    CHECK(only<StartCommand>(next.tick(now, 0)).size() == 2);
}
