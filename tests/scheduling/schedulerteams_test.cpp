// Caps of teams in the Scheduler. The load: a team sends more than its cap, and the owner or the
// configuration changes meanwhile.
#include "../support/schedulerfixture.h"

#include <algorithm>

using namespace oleanderhall;
using namespace oleanderhall::test;

namespace {

class SchedulerTeamsTest : public SchedulerTest
{
protected:
    SchedulerTeamsTest() { setCap(scheduler, 1, {.milliCores = 3000}); }

    void setCap(Scheduler &target, std::uint64_t version, Resources cap) const
    {
        target.setTeams(
            {version},
            {{.id = team, .weight = 1, .maxRunning = cap}, {.id = otherTeam, .weight = 1}}, now);
    }

    static JobSpec jobOf(TeamId owner, std::uint64_t id, StepSpec step)
    {
        JobSpec job = makeJob(id, "pool", {std::move(step)});
        job.team = owner;
        return job;
    }

    /// Reports that these runs have ended and all others go on.
    void end(const std::vector<StartCommand> &starts)
    {
        for (const WorkerId id : {w1, w2}) {
            std::vector<ActiveRun> running;
            std::vector<EndedRun> ended;
            for (const WorkerRun &run : scheduler.workers().at(id).runs)
                running.push_back({.task = run.task, .run = run.run});
            for (const StartCommand &start : starts) {
                if (start.worker != id)
                    continue;
                ended.push_back({.sequence = ++lastEnd[id],
                                 .task = start.task,
                                 .run = start.run,
                                 .runOutcome = RunOutcome::Done});
                std::erase_if(running,
                              [&](const ActiveRun &run) { return run.task == start.task; });
            }
            answerPoll({.worker = id}, running, ended);
        }
    }

    static int countOf(const std::vector<StartCommand> &starts, std::uint64_t firstId,
                       std::uint64_t lastId)
    {
        return static_cast<int>(
            std::count_if(starts.begin(), starts.end(), [&](const StartCommand &start) {
                return start.task.job.value >= firstId && start.task.job.value <= lastId;
            }));
    }

    const TeamId team{"a"};
    const TeamId otherTeam{"b"};
    std::map<WorkerId, std::int64_t> lastEnd;
};

} // namespace

TEST_CASE_METHOD(SchedulerTeamsTest, "Scheduler_stepExceedsItsTeamsCap_runsInWaves",
                 "[scheduler][teams]")
{
    syncAllWorkers();
    submit(jobOf(team, 1, makeStep(8, Millis(100))));
    const std::vector<StartCommand> first = tick<StartCommand>();
    REQUIRE(first.size() == 3);
    confirm(first);
    end(first);
    CHECK(tick<StartCommand>().size() == 3);
}

TEST_CASE_METHOD(SchedulerTeamsTest, "Scheduler_teamAtItsCapInABurst_otherTeamsStart",
                 "[scheduler][teams]")
{
    // Guards against a backlog of one team that ends the search for steps that may start.
    syncAllWorkers();
    for (std::uint64_t id = 1; id <= 100; ++id)
        submit(jobOf(team, id, makeStep(1, Millis(100))));
    submit(jobOf(otherTeam, 999, makeStep(1, Millis(2000))));
    CHECK(tick<StartCommand>().size() == 4);
    for (const TeamLoad &load : scheduler.teamLoads(now)) {
        CHECK(load.isAtCap == (load.team == team));
        CHECK(load.waitingJobs == (load.team == team ? 97 : 0));
        CHECK(load.running.milliCores == (load.team == team ? 3000 : 1000));
    }
}

TEST_CASE_METHOD(SchedulerTeamsTest,
                 "Scheduler_capLoweredInABurst_stopsNothingAndStartsOnceBelowTheCap",
                 "[scheduler][teams]")
{
    syncAllWorkers();
    for (std::uint64_t id = 1; id <= 100; ++id)
        submit(jobOf(team, id, makeStep(1, Millis(100))));
    const std::vector<StartCommand> starts = tick<StartCommand>();
    REQUIRE(starts.size() == 3);
    confirm(starts);
    setCap(scheduler, 2, {.milliCores = 1000});
    end({starts[0], starts[1]}); // one run is left, which is what the new cap allows
    int started = 0;
    for (const SchedulerAction &action : scheduler.tick(now, 0)) {
        CHECK_FALSE(std::holds_alternative<StopCommand>(action));
        started += std::holds_alternative<StartCommand>(action) ? 1 : 0;
    }
    CHECK(started == 0);
    end({starts[2]});
    CHECK(tick<StartCommand>().size() == 1);
}

TEST_CASE_METHOD(SchedulerTeamsTest, "Scheduler_gangExceedsItsTeamsCap_startsNoMember",
                 "[scheduler][teams]")
{
    syncAllWorkers();
    StepSpec step = makeStep(4, Millis(100));
    step.isGang = true;
    submit(jobOf(team, 1, step));
    CHECK(tick<StartCommand>().empty());
    setCap(scheduler, 2, {.milliCores = 4000});
    advance(Millis(3000));
    CHECK(tick<StartCommand>().size() == 4);
}

TEST_CASE_METHOD(SchedulerTeamsTest, "Scheduler_runsOnIdleCores_countInFull", "[scheduler][teams]")
{
    syncAllWorkers();
    StepSpec step = makeStep(8, Millis(100));
    step.usesIdleCores = true;
    submit(jobOf(team, 1, step));
    CHECK(tick<StartCommand>().size() == 3);
}

TEST_CASE_METHOD(SchedulerTeamsTest, "Scheduler_runIsBeingStopped_countsUntilItHasEnded",
                 "[scheduler][teams]")
{
    syncAllWorkers();
    submit(jobOf(team, 1, makeStep(3, Millis(5000))));
    const std::vector<StartCommand> starts = tick<StartCommand>();
    REQUIRE(starts.size() == 3);
    confirm(starts);
    scheduler.cancel(JobId{1}, now);
    submit(jobOf(team, 2, makeStep(3, Millis(100))));
    const std::vector<StopCommand> stops = tick<StopCommand>();
    REQUIRE(stops.size() == 3);
    for (const StopCommand &stop : stops)
        scheduler.onStopResult(stop, CallResult::Ok, now);
    CHECK(tick<StartCommand>().empty());
    advance(Millis(10));
    for (const WorkerId id : {w1, w2})
        answerPoll({.worker = id});
    CHECK(tick<StartCommand>().size() == 3);
}

TEST_CASE_METHOD(SchedulerTeamsTest, "Scheduler_capLoweredBeforeARepeatedStart_doesNotRepeatIt",
                 "[scheduler][teams]")
{
    syncAllWorkers();
    submit(jobOf(team, 1, makeStep(3, Millis(5000))));
    const std::vector<StartCommand> starts = tick<StartCommand>();
    REQUIRE(starts.size() == 3);
    scheduler.onStartResult(starts[0], CallResult::Unknown, now);
    setCap(scheduler, 2, {.milliCores = 2000});
    advance(Millis(300));
    CHECK(tick<StartCommand>().empty());
    setCap(scheduler, 3, {.milliCores = 3000});
    advance(Millis(1500));
    CHECK(tick<StartCommand>().size() == 1);
}

TEST_CASE_METHOD(SchedulerTeamsTest, "Scheduler_noConfigurationYet_startsNoTaskOfATeam",
                 "[scheduler][teams]")
{
    Scheduler unconfigured(SchedulerSettings{}, 0, now - std::chrono::minutes(1));
    unconfigured.setWorkers({makeWorker("w1", "pool", 8000)}, now);
    unconfigured.updateHosts({makeHost("h1", w1)}, now, now);
    unconfigured.onPollResult({.worker = w1}, CallResult::Ok, {.clock = Millis(1000)}, now, now);
    const JobSpec job = jobOf(team, 1, makeStep(1, Millis(100)));
    unconfigured.addJob(job, {.id = job.id, .isReleased = true}, false, now);
    const auto starts = [&] {
        int count = 0;
        for (const SchedulerAction &action : unconfigured.tick(now, 0))
            count += std::holds_alternative<StartCommand>(action) ? 1 : 0;
        return count;
    };
    CHECK(starts() == 0);
    setCap(unconfigured, 1, {});
    CHECK(starts() == 1);
}

TEST_CASE_METHOD(SchedulerTeamsTest, "Scheduler_endedJobsRunsGoOnAfterATakeOver_countUntilRead",
                 "[scheduler][teams]")
{
    // The row with the needs of an ended job is deleted while its runs are being stopped.
    syncAllWorkers();
    submit(jobOf(team, 1, makeStep(3, Millis(5000))));
    confirm(tick<StartCommand>());
    scheduler.cancel(JobId{1}, now);
    tick<StopCommand>();
    REQUIRE(writes.size() == 1);
    const JobProgress ended = writes[0].updates.at(0);
    CHECK(ended.stillRunning == Resources{.milliCores = 3000, .memoryMb = 300});

    Scheduler successor(SchedulerSettings{}, 1, now);
    setCap(successor, 1, {.milliCores = 3000});
    successor.setWorkers({makeWorker("w1", "pool", 8000), makeWorker("w2", "pool", 8000)}, now);
    successor.updateHosts({makeHost("h1", w1), makeHost("h2", w2)}, now, now);
    successor.addJob({.id = JobId{1}, .team = team}, ended, true, now);
    const JobSpec next = jobOf(team, 2, makeStep(1, Millis(100)));
    successor.addJob(next, {.id = next.id, .isReleased = true}, false, now + Millis(2500));
    const auto startsAt = [&](Millis time) {
        int count = 0;
        for (const SchedulerAction &action : successor.tick(now + time, 0))
            count += std::holds_alternative<StartCommand>(action) ? 1 : 0;
        return count;
    };
    successor.onPollResult({.worker = w1}, CallResult::Ok, {.clock = Millis(1000)}, now, now);
    CHECK(startsAt(Millis(2500)) == 0); // w2 doesn't answer
    CHECK(startsAt(Millis(6900)) == 0);
    CHECK(startsAt(Millis(7100)) == 1);
}

TEST_CASE_METHOD(SchedulerTeamsTest, "Scheduler_floodOfATeamInAFullPool_teamsShareIt",
                 "[scheduler][teams]")
{
    // Guards against a team that keeps the pool because its jobs were accepted first.
    setCap(scheduler, 2, {});
    advance(Millis(3000));
    syncAllWorkers();
    for (std::uint64_t id = 1; id <= 40; ++id)
        submit(jobOf(team, id, makeStep(4, Millis(100))));
    std::vector<StartCommand> running = tick<StartCommand>();
    REQUIRE(running.size() == 16);
    for (std::uint64_t id = 101; id <= 110; ++id)
        submit(jobOf(otherTeam, id, makeStep(4, Millis(2000))));
    confirm(running);
    advance(Millis(100));
    const std::vector<StartCommand> ended(running.begin(), running.begin() + 10);
    end(ended);
    const std::vector<StartCommand> next = tick<StartCommand>();
    CHECK(next.size() == 10);
    CHECK(countOf(next, 101, 110) == 8);
}

TEST_CASE_METHOD(SchedulerTeamsTest, "Scheduler_weightsDiffer_sharesAreInProportion",
                 "[scheduler][teams]")
{
    scheduler.setTeams({2}, {{.id = team, .weight = 300}, {.id = otherTeam, .weight = 100}}, now);
    advance(Millis(3000));
    syncAllWorkers();
    submit(jobOf(team, 1, makeStep(30, Millis(100))));
    submit(jobOf(otherTeam, 2, makeStep(30, Millis(100))));
    const std::vector<StartCommand> starts = tick<StartCommand>();
    CHECK(countOf(starts, 1, 1) == 12);
    CHECK(countOf(starts, 2, 2) == 4);
}

TEST_CASE_METHOD(SchedulerTeamsTest, "Scheduler_taskNeedsAWholeWorker_smallTasksDontStarveIt",
                 "[scheduler][teams]")
{
    // Guards against small tasks of one team that take each core as soon as it is free.
    setCap(scheduler, 2, {});
    advance(Millis(3000));
    syncAllWorkers();
    for (std::uint64_t id = 1; id <= 50; ++id)
        submit(jobOf(team, id, makeStep(16, Millis(100))));
    std::vector<StartCommand> running = tick<StartCommand>();
    REQUIRE(running.size() == 16);
    StepSpec whole = makeStep(1, Millis(100));
    whole.need.milliCores = 8000;
    submit(jobOf(otherTeam, 999, whole));
    bool hasStarted = false;
    for (int round = 0; round < 40 && !hasStarted; ++round) {
        confirm(running);
        advance(Millis(100));
        const std::vector<StartCommand> ended{running.front()}; // one core at a time
        running.erase(running.begin());
        end(ended);
        for (const StartCommand &start : tick<StartCommand>()) {
            hasStarted = hasStarted || start.task.job.value == 999;
            running.push_back(start);
        }
    }
    CHECK(hasStarted);
}

TEST_CASE_METHOD(SchedulerTeamsTest, "Scheduler_jobsBeyondTheTeamsRate_startLastAfterATakeOver",
                 "[scheduler][teams]")
{
    // Guards against an owner that decides by the order in which it reads the jobs.
    Scheduler successor(SchedulerSettings{}, 1, now - std::chrono::minutes(1));
    setCap(successor, 1, {}); // one job a second
    successor.setWorkers({makeWorker("w1", "pool", 6000)}, now);
    successor.updateHosts({makeHost("h1", w1)}, now, now);
    for (std::uint64_t id = 1; id <= 20; ++id) {
        JobSpec job = jobOf(id <= 10 ? team : otherTeam, id, makeStep(1, Millis(100)));
        job.acceptedMs = 100'000 + static_cast<std::int64_t>(9 - id % 10) * 100;
        successor.addJob(job, {.id = job.id, .isReleased = true}, true, now);
    }
    successor.onPollResult({.worker = w1}, CallResult::Ok, {.clock = Millis(1000)}, now, now);
    std::vector<StartCommand> starts;
    for (const SchedulerAction &action : successor.tick(now, 0)) {
        if (const auto *start = std::get_if<StartCommand>(&action))
            starts.push_back(*start);
    }
    CHECK(starts.size() == 6);
    for (const TeamLoad &load : successor.teamLoads(now))
        CHECK(load.overRateJobs == 5);
    // The five that were accepted first of each team are within its rate.
    for (const StartCommand &start : starts)
        CHECK(start.task.job.value % 10 >= 5);
}
