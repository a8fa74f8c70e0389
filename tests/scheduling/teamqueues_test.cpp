// Compares the ordering policies on the same loads: a pool of identical cores without a network.
#include "oleanderhall/scheduling/teamqueues.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <array>
#include <map>
#include <string>

using namespace oleanderhall;

namespace {

constexpr int kCores = 60;
constexpr Millis kTick{10};

/// A task that needs one core.
struct Task
{
    int team = 0;
    Instant accepted;
    Millis length{100};
    Millis objective{1000};
};

/// What one team sends: `perSecond` tasks from `begin` until `end`.
struct TeamLoadPattern
{
    double weight = 1;
    double perSecond = 0;
    Millis begin{0};
    Millis end{0};
    Millis length{500};
};

struct Outcome
{
    std::vector<int> started; ///< By team.
    std::vector<Millis> longestWait; ///< By team.
    /// By team: the fewest cores that it had after it had waiting tasks for `length` of the longest
    /// task.
    std::vector<int> fewestCores;
};

/// Runs `pattern` for `duration` in a pool that Policy orders.
template <OrderingPolicy Policy>
Outcome simulate(const std::vector<TeamLoadPattern> &pattern, Millis duration)
{
    const std::size_t teams = pattern.size();
    Outcome outcome{std::vector<int>(teams), std::vector<Millis>(teams),
                    std::vector<int>(teams, kCores)};
    const Instant begin{std::chrono::hours(1)};
    std::vector<Task> waiting;
    std::vector<int> cores(teams);
    std::vector<double> due(teams);
    std::vector<Instant> waitsSince(teams, begin + duration);
    std::multimap<Instant, int> ends;
    std::vector<TeamId> names;
    Millis longest{0};
    for (std::size_t team = 0; team < teams; ++team) {
        names.emplace_back("team" + std::to_string(100 + team));
        longest = std::max(longest, pattern[team].length);
    }
    for (Instant now = begin; now < begin + duration; now += kTick) {
        while (!ends.empty() && ends.begin()->first <= now) {
            --cores[static_cast<std::size_t>(ends.begin()->second)];
            ends.erase(ends.begin());
        }
        for (std::size_t team = 0; team < teams; ++team) {
            const TeamLoadPattern &load = pattern[team];
            if (now < begin + load.begin || now >= begin + load.end)
                continue;
            due[team] += load.perSecond * std::chrono::duration<double>(kTick).count();
            for (; due[team] >= 1; due[team] -= 1)
                waiting.push_back({.team = static_cast<int>(team),
                                   .accepted = now,
                                   .length = load.length,
                                   .objective = 3 * load.length});
        }
        TeamQueues<Policy, std::size_t> queues;
        for (std::size_t index = 0; index < waiting.size(); ++index) {
            const Task &task = waiting[index];
            const auto age = std::chrono::duration_cast<Millis>(now - task.accepted);
            queues.add(names[static_cast<std::size_t>(task.team)],
                       {.accepted = task.accepted, .slack = task.objective - age - task.length},
                       index);
        }
        queues.sort();
        queues.beginRound([&](TeamId team) {
            const auto index = static_cast<std::size_t>(std::find(names.begin(), names.end(), team)
                                                        - names.begin());
            return TeamStanding{.weight = pattern[index].weight,
                                .running = {.milliCores = cores[index]},
                                .capacity = {.milliCores = kCores}};
        });
        std::vector<bool> isStarted(waiting.size());
        while (static_cast<int>(ends.size()) < kCores) {
            const std::size_t *next = queues.next();
            if (!next)
                break;
            const Task &task = waiting[*next];
            const auto team = static_cast<std::size_t>(task.team);
            isStarted[*next] = true;
            ends.emplace(now + task.length, task.team);
            ++cores[team];
            ++outcome.started[team];
            outcome.longestWait[team] = std::max(
                outcome.longestWait[team], std::chrono::duration_cast<Millis>(now - task.accepted));
            queues.addRunning({.milliCores = 1});
            queues.drop();
        }
        std::vector<Task> left;
        std::vector<bool> hasWaiting(teams);
        for (std::size_t index = 0; index < waiting.size(); ++index) {
            if (isStarted[index])
                continue;
            left.push_back(waiting[index]);
            hasWaiting[static_cast<std::size_t>(waiting[index].team)] = true;
        }
        waiting = std::move(left);
        for (std::size_t team = 0; team < teams; ++team) {
            waitsSince[team] = hasWaiting[team] ? std::min(waitsSince[team], now)
                                                : begin + duration;
            if (now >= waitsSince[team] + longest)
                outcome.fewestCores[team] = std::min(outcome.fewestCores[team], cores[team]);
        }
    }
    return outcome;
}

} // namespace

TEST_CASE("TeamQueues_floodOfOneTeamInAnothersBurst_onlyFairSharesProtectTheOther", "[teams]")
{
    // 60 cores start 120 tasks a second. The first team sends six times that, the second one less
    // than its half.
    const std::vector<TeamLoadPattern> load{
        {.perSecond = 720, .end = Millis(4000)},
        {.perSecond = 50, .begin = Millis(1000), .end = Millis(3000)}};
    const Outcome fair = simulate<WeightedFairShare>(load, Millis(6000));
    const Outcome firstCome = simulate<FirstComeFirstServed>(load, Millis(6000));
    const Outcome leastSlack = simulate<LeastSlackFirst>(load, Millis(6000));
    INFO("longest wait of the second team: " << fair.longestWait[1].count() << ", "
                                             << firstCome.longestWait[1].count() << " and "
                                             << leastSlack.longestWait[1].count() << " ms");
    CHECK(fair.longestWait[1] <= Millis(500)); // the length of a task
    CHECK(fair.started[1] == 100);
    CHECK(firstCome.started[1] < 50);
    CHECK(leastSlack.started[1] < 50);
}

TEST_CASE("TeamQueues_twentyTeamsOfSkewedSizes_shareAFullPoolByWeight", "[teams]")
{
    // The first team sends half of the load, and each further one a little less than the one
    // before. Weights of 1 and 3 alternate.
    std::vector<TeamLoadPattern> load;
    for (int team = 0; team < 20; ++team)
        load.push_back({.weight = team % 2 == 0 ? 1.0 : 3.0,
                        .perSecond = team == 0 ? 400.0 : 50.0 - team,
                        .end = Millis(5000)});
    const Outcome fair = simulate<WeightedFairShare>(load, Millis(5000));
    const Outcome firstCome = simulate<FirstComeFirstServed>(load, Millis(5000));
    for (std::size_t team = 0; team < load.size(); ++team) {
        const double share = kCores * load[team].weight / 40;
        INFO("team " << team << " started " << fair.started[team] << " and "
                     << firstCome.started[team]);
        CHECK(fair.fewestCores[team] >= static_cast<int>(share));
    }
    CHECK(firstCome.fewestCores[19] < 4);
}

TEST_CASE("TeamQueues_anyLoads_noTeamStarves", "[teams]")
{
    // The bound: a team with waiting tasks has its share, rounded down, after the run time of the
    // longest task at the latest.
    CHECK(rc::check("each team gets its share", [] {
        std::vector<TeamLoadPattern> load;
        double sum = 0;
        const int teams = *rc::gen::inRange(2, 8);
        for (int team = 0; team < teams; ++team) {
            const Millis begin(*rc::gen::inRange(0, 100) * 10);
            load.push_back({.weight = static_cast<double>(*rc::gen::inRange(1, 6)),
                            .perSecond = static_cast<double>(*rc::gen::inRange(1, 300)),
                            .begin = begin,
                            .end = begin + Millis(*rc::gen::inRange(1, 100) * 10),
                            .length = Millis(*rc::gen::inRange(1, 60) * 10)});
            sum += load.back().weight;
        }
        const Outcome outcome = simulate<WeightedFairShare>(load, Millis(2500));
        for (std::size_t team = 0; team < load.size(); ++team)
            RC_ASSERT(outcome.fewestCores[team]
                      >= static_cast<int>(kCores * load[team].weight / sum));
    }));
}

TEST_CASE("TeamQueues_stepsOfOneTeam_keepThePolicysOrderAcrossRounds", "[teams]")
{
    TeamQueues<FirstComeFirstServed, int> queues;
    const Instant begin{std::chrono::hours(1)};
    for (const int item : {3, 1, 2})
        queues.add(TeamId("a"), {.accepted = begin + Millis(item)}, item);
    queues.add(TeamId("a"), {.stepClass = StepStanding::Class::OverRate, .accepted = begin}, 9);
    queues.add(TeamId("a"),
               {.stepClass = StepStanding::Class::LongRunning, .accepted = begin + Millis(50)}, 0);
    queues.sort();
    const auto round = [&](int dropped) {
        std::vector<int> order;
        queues.beginRound([](TeamId) { return TeamStanding{}; });
        while (const int *item = queues.next()) {
            order.push_back(*item);
            if (order.back() == dropped)
                queues.drop();
            else
                queues.keep();
        }
        queues.endRound();
        return order;
    };
    CHECK(round(2) == std::vector<int>{0, 1, 2, 3, 9});
    CHECK(round(-1) == std::vector<int>{0, 1, 3, 9});
}
