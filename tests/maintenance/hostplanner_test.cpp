#include "oleanderhall/maintenance/hostplanner.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace oleanderhall;

namespace {

const PoolId kBusy("busy");
const PoolId kCalm("calm");
const PoolId kSpare("spare");

/// What the fixture answers about one worker.
struct Load
{
    bool isKnown = false;
    bool isEmpty = true;
    bool mayInterrupt = true;
    double batchCores = 0;
};

/// A fleet with four hosts in each of two pools and four spare hosts, which are off.
class HostPlannerTest
{
protected:
    HostPlannerTest()
    {
        planner.setPools({{.id = kBusy}, {.id = kCalm}, {.id = kSpare, .isSpare = true}});
        for (int index = 0; index < 4; ++index) {
            add("b" + std::to_string(index), kBusy, HostInfo::State::Ready);
            add("c" + std::to_string(index), kCalm, HostInfo::State::Ready);
            add("s" + std::to_string(index), kSpare, HostInfo::State::Ready);
        }
        planner.updateHosts(hosts, now);
        usages[WorkerId("")] = {}; // a host that is off has no worker
    }

    void add(const std::string &name, PoolId pool, HostInfo::State state)
    {
        HostInfo host{.id = HostId(name), .pool = pool, .state = state};
        host.capacity.milliCores = 10000;
        if (pool != kSpare) {
            host.worker = WorkerId("w-" + name);
            usages[host.worker] = {.isKnown = true};
        }
        hosts.push_back(host);
    }

    WorkerLookup lookup()
    {
        return {.usageOf =
                    [this](WorkerId worker) {
                        usageLookups.push_back(worker);
                        const Load &load = usages[worker];
                        return WorkerUsage{load.isKnown, load.isEmpty, load.batchCores};
                    },
                .mayInterrupt =
                    [this](WorkerId worker) {
                        interruptLookups.push_back(worker);
                        return usages[worker].mayInterrupt;
                    }};
    }

    HostPlanner::Plan plan(double busyCores, double calmCores)
    {
        return planner.plan({{kBusy, {.cores = busyCores}}, {kCalm, {.cores = calmCores}}},
                            lookup(), now);
    }

    void answer(const HostPlanner::Plan &plan, HostCommandResult result = HostCommandResult::Done)
    {
        for (const HostCommand &command : plan.commands)
            planner.onCommandResult(command, result, now);
    }

    Wave wave(std::vector<std::string> names, int maxAtOnce)
    {
        Wave result{.number = 1, .duration = Millis(20000), .maxAtOnce = maxAtOnce};
        for (const std::string &name : names)
            result.hosts.emplace_back(name);
        return result;
    }

    static int moves(const HostPlanner::Plan &plan, PoolId pool)
    {
        int count = 0;
        for (const HostCommand &command : plan.commands)
            count += command.targetPool == pool ? 1 : 0;
        return count;
    }

    static std::ptrdiff_t maintenances(const HostPlanner::Plan &plan)
    {
        return std::count_if(plan.commands.begin(), plan.commands.end(),
                             [](const HostCommand &command) { return !command.isMove(); });
    }

    Instant now{std::chrono::hours(1)};
    std::vector<HostInfo> hosts;
    std::map<WorkerId, Load> usages;
    std::vector<WorkerId> usageLookups; ///< One entry for each call of the plans.
    std::vector<WorkerId> interruptLookups;
    HostPlanner planner{HostPlannerSettings{}};
};

} // namespace

TEST_CASE_METHOD(HostPlannerTest, "HostPlanner_poolShortOfHosts_takesSparesFirst", "[hosts]")
{
    CHECK(moves(plan(50, 30), kBusy) == 2);
}

TEST_CASE_METHOD(HostPlannerTest, "HostPlanner_commandNotAnsweredYet_sendsNoMore", "[hosts]")
{
    // Guards against repeated moves: while the host service was slow to answer, each plan moved the
    // same number of hosts again.
    CHECK(moves(plan(50, 30), kBusy) == 2);
    now += Millis(200);
    CHECK(moves(plan(50, 30), kBusy) == 0);
}

TEST_CASE_METHOD(HostPlannerTest, "HostPlanner_commandRefused_sendsItAgain", "[hosts]")
{
    answer(plan(50, 30), HostCommandResult::Busy);
    now += HostPlannerSettings{}.commandRetryDelay;
    CHECK(moves(plan(50, 30), kBusy) == 2);
}

TEST_CASE_METHOD(HostPlannerTest, "HostPlanner_sparesUsedUp_takesIdleHostsOfOtherPools", "[hosts]")
{
    CHECK(moves(plan(100, 0), kBusy) == 5); // four spares and one surplus host of kCalm
}

TEST_CASE_METHOD(HostPlannerTest, "HostPlanner_otherPoolsHostsBusy_cordonsInsteadOfEndingWork",
                 "[hosts]")
{
    for (int index = 0; index < 4; ++index)
        usages[WorkerId("w-c" + std::to_string(index))] = {
            .isKnown = true, .isEmpty = false, .mayInterrupt = false, .batchCores = 2};
    const HostPlanner::Plan result = plan(100, 0);
    CHECK(moves(result, kBusy) == 4);
    CHECK(result.cordoned.size() == 1);
}

TEST_CASE_METHOD(HostPlannerTest, "HostPlanner_poolHasTooMany_givesThemBackAfterAWhile", "[hosts]")
{
    CHECK(plan(0, 30).commands.empty());
    now += HostPlannerSettings{}.surplusTime;
    CHECK(moves(plan(0, 30), kSpare) == 1); // three remain in case a rack fails
}

TEST_CASE_METHOD(HostPlannerTest, "HostPlanner_movedHost_staysForAWhile", "[hosts]")
{
    answer(plan(50, 30));
    plan(0, 30);
    now += HostPlannerSettings{}.surplusTime;
    for (const HostCommand &command : plan(0, 30).commands)
        CHECK(command.host.name().substr(0, 1) == "b");
}

TEST_CASE_METHOD(HostPlannerTest, "HostPlanner_hostCommandedByEarlierOwner_isLeftAlone", "[hosts]")
{
    for (int index = 0; index < 4; ++index)
        planner.pause(HostId("s" + std::to_string(index)), now + Millis(3000));
    CHECK(moves(plan(50, 40), kBusy) == 0);
    now += Millis(3000);
    CHECK(moves(plan(50, 40), kBusy) == 2);
}

TEST_CASE_METHOD(HostPlannerTest, "HostPlanner_wave_keepsItsLimit", "[hosts]")
{
    planner.addWave(wave({"b0", "b1", "b2", "c0"}, 2), now);
    const HostPlanner::Plan first = plan(20, 20);
    CHECK(first.commands.size() == 2);
    answer(first);
    CHECK(plan(20, 20).commands.empty());
}

TEST_CASE_METHOD(HostPlannerTest, "HostPlanner_earlierOwnersMaintenanceUnderWay_countsForTheLimit",
                 "[hosts]")
{
    // Guards against more hosts under maintenance than the wave allows: a new owner doesn't know
    // which commands its predecessor has just sent.
    planner.addWave(wave({"b0", "b1", "b2", "c0"}, 2), now);
    planner.pause(HostId("b0"), now + Millis(3000));
    planner.pause(HostId("b1"), now + Millis(3000));
    CHECK(plan(20, 20).commands.empty());
}

TEST_CASE_METHOD(HostPlannerTest, "HostPlanner_maintainedHostMoves_leavesTheWaveItsRoom", "[hosts]")
{
    // Guards against waves that stand still in a burst of demand: hosts that had been maintained
    // and then moved to another pool counted as down for maintenance.
    planner.addWave(wave({"b0", "c0"}, 1), now);
    const HostPlanner::Plan first = plan(20, 20);
    REQUIRE(first.commands.size() == 1);
    answer(first);
    now += HostPlannerSettings{}.maintenanceTime;
    for (HostInfo &host : hosts) {
        if (host.id == first.commands[0].host)
            host.state = HostInfo::State::Moving;
    }
    planner.updateHosts(hosts, now);
    CHECK(maintenances(plan(20, 20)) == 1);
}

TEST_CASE_METHOD(HostPlannerTest, "HostPlanner_hostDownAfterItsMaintenance_takesRoomOfTheWave",
                 "[hosts]")
{
    // Guards against more hosts down than the wave allows when one doesn't return.
    planner.addWave(wave({"b0", "c0"}, 1), now);
    const HostPlanner::Plan first = plan(20, 20);
    answer(first);
    now += HostPlannerSettings{}.maintenanceTime;
    for (HostInfo &host : hosts) {
        if (host.id == first.commands[0].host)
            host.state = HostInfo::State::Down;
    }
    planner.updateHosts(hosts, now);
    CHECK(maintenances(plan(20, 20)) == 0);
}

TEST_CASE_METHOD(HostPlannerTest, "HostPlanner_workerNotRead_isNotTakenForIdle", "[hosts]")
{
    // Guards against a violation of the availability budget: a new owner treated hosts as empty
    // before it had read the state of their workers.
    planner.addWave(wave({"b0"}, 1), now);
    usages[WorkerId("w-b0")] = {};
    CHECK(plan(20, 20).commands.empty());
    usages[WorkerId("w-b0")] = {.isKnown = true};
    CHECK(plan(20, 20).commands.size() == 1);
}

TEST_CASE_METHOD(HostPlannerTest, "HostPlanner_workerNotListedYet_isNotTakenForOff", "[hosts]")
{
    // Guards against a violation of the availability budget: after a move, the list of hosts was
    // late, so a host whose new worker ran tasks already was maintained as if it were off.
    add("b4", kBusy, HostInfo::State::Ready);
    hosts.back().worker = {};
    planner.updateHosts(hosts, now);
    planner.addWave(wave({"b4", "s0"}, 2), now);
    const HostPlanner::Plan result = plan(20, 20);
    REQUIRE(result.commands.size() == 1);
    CHECK(result.commands[0].host == HostId("s0"));
}

TEST_CASE_METHOD(HostPlannerTest, "HostPlanner_moveWithUnknownOutcome_waitsForANewerList",
                 "[hosts]")
{
    // Guards against a move that ends running tasks: a host that was listed as a spare had joined a
    // pool by a move without an answer, and was then moved to another pool.
    const HostPlanner::Plan first = plan(50, 30);
    REQUIRE(first.commands.size() == 2);
    answer(first, HostCommandResult::Unknown);
    const Instant answered = now;
    now += Millis(500);
    planner.updateHosts(hosts, now, answered - Millis(100));
    CHECK(moves(plan(30, 100), kCalm) == 2); // only the other two spares
    for (HostInfo &host : hosts) {
        if (host.id == first.commands[0].host || host.id == first.commands[1].host)
            host.pool = kBusy;
    }
    now += Millis(500);
    planner.updateHosts(hosts, now, answered + Millis(100));
    for (const HostCommand &command : plan(50, 100).commands) {
        CHECK(command.host != first.commands[0].host);
        CHECK(command.host != first.commands[1].host);
    }
}

TEST_CASE_METHOD(HostPlannerTest, "HostPlanner_budgetForbids_waitsWithMaintenance", "[hosts]")
{
    planner.addWave(wave({"b0"}, 1), now);
    usages[WorkerId("w-b0")] = {.isKnown = true, .isEmpty = false, .mayInterrupt = false};
    CHECK(plan(20, 20).commands.empty());
}

TEST_CASE_METHOD(HostPlannerTest, "HostPlanner_behindSchedule_evacuatesWhatBudgetsHold", "[hosts]")
{
    planner.addWave(wave({"b0"}, 1), now);
    usages[WorkerId("w-b0")] = {.isKnown = true, .isEmpty = false, .mayInterrupt = false};
    now += Millis(18000);
    CHECK(plan(20, 20).evacuated.contains(WorkerId("w-b0")));
}

TEST_CASE_METHOD(HostPlannerTest, "HostPlanner_waveAboutToEnd_preemptsTasksOnItsLastHosts",
                 "[hosts]")
{
    // Guards against late waves: a host with a task that runs for longer than the wave was left.
    planner.addWave(wave({"b0", "b1"}, 1), now);
    for (const char *worker : {"w-b0", "w-b1"})
        usages[WorkerId(worker)] = {
            .isKnown = true, .isEmpty = false, .mayInterrupt = false, .batchCores = 2};
    now += Millis(14000); // of 20 s
    CHECK(plan(20, 20).cordoned.size() == 1);
    CHECK(plan(20, 20).preempted.empty());
    now += Millis(1000);
    CHECK(plan(20, 20).preempted.size() == 1); // no more than the wave may take at once
}

TEST_CASE_METHOD(HostPlannerTest, "HostPlanner_twoWaves_interruptOneHostInAPlan", "[hosts]")
{
    // Guards against plans that exceed a disruption budget: each host alone may be interrupted, but
    // both may run tasks of the same step.
    for (const char *worker : {"w-b0", "w-c0"})
        usages[WorkerId(worker)] = {.isKnown = true, .isEmpty = false, .mayInterrupt = true};
    Wave second = wave({"c0"}, 2);
    second.number = 2;
    planner.addWave(wave({"b0"}, 2), now);
    planner.addWave(second, now);
    CHECK(plan(0, 0).commands.size() == 1);
}

TEST_CASE_METHOD(HostPlannerTest, "HostPlanner_interruptsAHost_evacuatesNoneInTheSamePlan",
                 "[hosts]")
{
    usages[WorkerId("w-b0")] = {.isKnown = true, .isEmpty = false, .mayInterrupt = true};
    usages[WorkerId("w-c0")] = {.isKnown = true, .isEmpty = false, .mayInterrupt = false};
    Wave second = wave({"b0"}, 2);
    second.number = 2;
    planner.addWave(wave({"c0"}, 2), now);
    planner.addWave(second, now);
    now += Millis(20000); // both waves are behind schedule
    const HostPlanner::Plan result = plan(0, 0);
    CHECK(result.commands.size() == 1);
    CHECK(result.evacuated.empty());
}

TEST_CASE_METHOD(HostPlannerTest, "HostPlanner_waveDone_isCompletedOnlyThen", "[hosts]")
{
    planner.addWave(wave({"b0", "c0"}, 1), now);
    HostPlanner::Plan result = plan(20, 20);
    REQUIRE(result.waveStates.size() == 1);
    CHECK_FALSE(result.waveStates[0].second);
    answer(result);
    now += Millis(10000);
    hosts[0].state = HostInfo::State::Ready;
    planner.updateHosts(hosts, now);
    result = plan(20, 20);
    CHECK(result.waveStates.empty());
    answer(result);
    result = plan(20, 20);
    REQUIRE(result.waveStates.size() == 1);
    CHECK(result.waveStates[0].second);
}

TEST_CASE_METHOD(HostPlannerTest, "HostPlanner_hostOfWaveGone_isNotWaitedFor", "[hosts]")
{
    planner.addWave(wave({"b0", "gone"}, 1), now);
    answer(plan(20, 20));
    const HostPlanner::Plan result = plan(20, 20);
    REQUIRE(result.waveStates.size() == 1);
    CHECK(result.waveStates[0].second);
}

TEST_CASE_METHOD(HostPlannerTest, "HostPlanner_outcomeUnknown_sendsItAgain", "[hosts]")
{
    planner.addWave(wave({"b0"}, 1), now);
    answer(plan(34, 34), HostCommandResult::Unknown);
    now += Millis(5000);
    CHECK(plan(34, 34).commands.size() == 1);
}

TEST_CASE_METHOD(HostPlannerTest, "HostPlanner_poolOfOtherHosts_isNotTriedAgain", "[hosts]")
{
    HostPlanner::Plan result = plan(50, 40);
    answer(result, HostCommandResult::Invalid);
    now += Millis(1000);
    for (const HostCommand &command : plan(50, 40).commands) {
        for (const HostCommand &refused : result.commands)
            CHECK_FALSE((command.host == refused.host && command.targetPool == refused.targetPool));
    }
}

TEST_CASE_METHOD(HostPlannerTest, "HostPlanner_antiaffinity_keepsHostsEnough", "[hosts]")
{
    // Guards against lost tasks: a pool was reduced below the number of hosts that its tasks must
    // be spread over.
    now += Millis(10000);
    const auto planWithMinHosts = [&] {
        return planner.plan({{kBusy, {.cores = 0, .minHosts = 5}}, {kCalm, {.cores = 30}}},
                            lookup(), now);
    };
    CHECK(moves(planWithMinHosts(), kBusy) == 1);
    // The pool gets one host more while its hosts await maintenance.
    planner.addWave(wave({"b0", "b1"}, 1), now);
    now += Millis(10000);
    CHECK(moves(planWithMinHosts(), kBusy) == 1);
}

TEST_CASE_METHOD(HostPlannerTest, "HostPlanner_noWaveAndNoMove_looksUpNoWorker", "[hosts]")
{
    // Guards against plans whose cost grows with the fleet: every plan looked up each worker and
    // whether its tasks may be interrupted.
    CHECK(plan(20, 20).commands.empty());
    CHECK(usageLookups.empty());
    CHECK(interruptLookups.empty());
}

TEST_CASE_METHOD(HostPlannerTest, "HostPlanner_openWave_asksOnceForWorkersOfTheWaveAlone",
                 "[hosts]")
{
    // Guards against plans whose cost grows with the fleet, as above, while a wave is open.
    usages[WorkerId("w-b0")] = {.isKnown = true, .isEmpty = false, .mayInterrupt = false};
    usages[WorkerId("w-b1")] = {.isKnown = true, .isEmpty = false, .batchCores = 2};
    planner.addWave(wave({"b0", "b1"}, 1), now);
    CHECK(plan(20, 20).commands.empty());
    CHECK(usageLookups == std::vector<WorkerId>{WorkerId("w-b0"), WorkerId("w-b1")});
    CHECK(interruptLookups == std::vector<WorkerId>{WorkerId("w-b0")});
}

TEST_CASE_METHOD(HostPlannerTest, "HostPlanner_waveNamesAHostTwice_sendsOneCommand", "[hosts]")
{
    // Guards against two commands to one host in one plan.
    planner.addWave(wave({"b0", "b0"}, 2), now);
    CHECK(maintenances(plan(20, 20)) == 1);
}
