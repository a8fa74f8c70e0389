// Plays waves, moves and lost hosts against a HostPlanner, with the platform's answers in random
// order. Checks that no command exceeds a wave's limit or a step's disruption budget.
#include "oleanderhall/maintenance/hostplanner.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>

using namespace oleanderhall;

namespace {

constexpr int kHostCount = 16;
constexpr int kStepCount = 3;
constexpr int kTasksPerStep = 5;
constexpr int kMaxDisrupted = 1;
constexpr int kRounds = 300;
constexpr Millis kRoundTime{60};
const PoolId kFirst("first");
const PoolId kSecond("second");
const PoolId kSpare("spare");

/// A fleet whose hosts run the tasks of long-running steps. A task that has been ended is placed
/// again after a while on a host that is up.
class WaveSimulation
{
public:
    explicit WaveSimulation(unsigned seed)
        : m_random(seed)
    {
        m_planner.setPools({{.id = kFirst}, {.id = kSecond}, {.id = kSpare, .isSpare = true}});
        for (int index = 0; index < kHostCount; ++index) {
            HostInfo host{.id = HostId("h" + std::to_string(index)),
                          .pool = index % 4 == 3 ? kSpare : (index % 2 == 0 ? kFirst : kSecond),
                          .state = HostInfo::State::Ready};
            host.capacity.milliCores = 10000;
            host.worker = host.pool == kSpare ? WorkerId() : WorkerId("w" + host.id.name());
            m_hosts[host.id] = host;
        }
        for (std::int64_t number = 1; number <= 2; ++number) {
            Wave wave{.number = number, .duration = Millis(5000), .maxAtOnce = 3};
            for (const auto &[id, host] : m_hosts) {
                if (pick(2) == 0)
                    wave.hosts.push_back(id);
            }
            m_waves.push_back(wave);
        }
        for (int task = 0; task < kStepCount * kTasksPerStep; ++task)
            m_tasks.push_back({.step = task % kStepCount});
    }

    std::vector<std::string> violations;

    void simulate()
    {
        for (const Wave &wave : m_waves)
            m_planner.addWave(wave, m_now);
        for (int round = 0; round < kRounds; ++round) {
            m_now += kRoundTime;
            advance();
            if (pick(3) == 0)
                m_planner.updateHosts(hostList(), m_now);
            const PoolDemands demands{{kFirst, {.cores = static_cast<double>(pick(90))}},
                                      {kSecond, {.cores = static_cast<double>(pick(90))}}};
            const WorkerLookup lookup{
                .usageOf = [this](WorkerId worker) { return usage(worker); },
                .mayInterrupt = [this](WorkerId worker) { return mayInterrupt(worker); }};
            const HostPlanner::Plan plan = m_planner.plan(demands, lookup, m_now);
            evacuate(plan.evacuated);
            for (const HostCommand &command : plan.commands)
                m_pending.push_back(command);
            executePending();
        }
    }

private:
    struct Task
    {
        int step = 0;
        WorkerId worker; ///< Empty while the task does not run.
        Instant readyAt;
    };

    int pick(int size) { return std::uniform_int_distribution<int>(0, size - 1)(m_random); }

    int missing(int step) const
    {
        return static_cast<int>(std::count_if(m_tasks.begin(), m_tasks.end(), [&](const Task &t) {
            return t.step == step && (t.worker.empty() || m_now < t.readyAt);
        }));
    }

    int tasksOn(WorkerId worker, int step) const
    {
        return static_cast<int>(std::count_if(m_tasks.begin(), m_tasks.end(), [&](const Task &t) {
            return t.worker == worker && t.step == step;
        }));
    }

    /// Answers as Scheduler::mayInterrupt does: for each worker alone, on the current state.
    bool mayInterrupt(WorkerId worker) const
    {
        for (int step = 0; !worker.empty() && step < kStepCount; ++step) {
            const int here = tasksOn(worker, step);
            if (here > 0 && missing(step) + here > kMaxDisrupted)
                return false;
        }
        return true;
    }

    WorkerUsage usage(WorkerId worker) const
    {
        if (worker.empty())
            return {};
        WorkerUsage result{.isKnown = true};
        for (int step = 0; step < kStepCount; ++step) {
            result.isEmpty = result.isEmpty && tasksOn(worker, step) == 0;
        }
        for (const HostCommand &command : m_pending) {
            if (m_hosts.at(command.host).worker == worker)
                result.isKnown = false; // its worker is terminating
        }
        return result;
    }

    std::vector<HostInfo> hostList() const
    {
        std::vector<HostInfo> list;
        for (const auto &[id, host] : m_hosts)
            list.push_back(host);
        return list;
    }

    void advance()
    {
        for (auto &[id, until] : m_downUntil) {
            HostInfo &host = m_hosts[id];
            if (m_now < until || host.state == HostInfo::State::Ready)
                continue;
            host.state = HostInfo::State::Ready;
            if (host.pool != kSpare)
                host.worker = WorkerId("w" + std::to_string(++m_lastWorker));
        }
        for (Task &task : m_tasks) {
            if (!task.worker.empty() || pick(6) != 0)
                continue;
            const HostInfo &host = std::next(m_hosts.begin(), pick(kHostCount))->second;
            if (host.state != HostInfo::State::Ready || host.worker.empty() || isCommanded(host.id))
                continue;
            task.worker = host.worker;
            task.readyAt = m_now + Millis(200);
        }
    }

    bool isCommanded(HostId id) const
    {
        return std::any_of(m_pending.begin(), m_pending.end(),
                           [id](const HostCommand &command) { return command.host == id; });
    }

    /// Carries out the pending commands one after the other. All of them were planned before.
    void executePending()
    {
        std::vector<HostCommand> later;
        for (const HostCommand &command : m_pending) {
            if (pick(4) == 0 && tasksOnHost(command.host) == 0)
                later.push_back(command); // answered in a later round
            else
                execute(command);
        }
        m_pending = later;
    }

    int tasksOnHost(HostId id) const
    {
        const WorkerId worker = m_hosts.at(id).worker;
        return static_cast<int>(
            std::count_if(m_tasks.begin(), m_tasks.end(), [&](const Task &task) {
                return !worker.empty() && task.worker == worker;
            }));
    }

    void execute(const HostCommand &command)
    {
        HostInfo &host = m_hosts.at(command.host);
        for (const Wave &wave : m_waves) {
            if (wave.number == command.wave && downFor(command.wave) >= wave.maxAtOnce)
                violations.push_back("wave " + std::to_string(wave.number) + " exceeds its limit");
        }
        end(host.worker);
        host.worker = {};
        host.state = command.isMove() ? HostInfo::State::Moving : HostInfo::State::Maintenance;
        if (command.isMove())
            host.pool = command.targetPool;
        m_maintainedBy[command.host] = command.wave;
        m_downUntil[command.host] = m_now + Millis(1500);
        m_planner.onCommandResult(command, HostCommandResult::Done, m_now);
    }

    int downFor(std::int64_t wave) const
    {
        return static_cast<int>(std::count_if(m_hosts.begin(), m_hosts.end(), [&](const auto &e) {
            const auto by = m_maintainedBy.find(e.first);
            return e.second.state == HostInfo::State::Maintenance && by != m_maintainedBy.end()
                && by->second == wave;
        }));
    }

    /// Ends the tasks on `worker`; a step of which too many are missing then is a violation.
    void end(WorkerId worker)
    {
        for (Task &task : m_tasks) {
            if (worker.empty() || task.worker != worker)
                continue;
            task.worker = {};
            if (missing(task.step) > kMaxDisrupted)
                violations.push_back("a command exceeds the budget of step "
                                     + std::to_string(task.step));
        }
    }

    /// Stops tasks as Scheduler::evacuate does: one at a time, within the budget as it is known
    /// before the plan's commands are carried out.
    void evacuate(const std::set<WorkerId> &workers)
    {
        for (const WorkerId worker : workers) {
            for (Task &task : m_tasks) {
                if (task.worker == worker && m_now >= task.readyAt
                    && missing(task.step) < kMaxDisrupted)
                    task.worker = {};
            }
        }
    }

    std::mt19937 m_random;
    Instant m_now{std::chrono::hours(1)};
    HostPlanner m_planner{HostPlannerSettings{}};
    std::map<HostId, HostInfo> m_hosts;
    std::vector<Wave> m_waves;
    std::vector<Task> m_tasks;
    std::vector<HostCommand> m_pending;
    std::map<HostId, Instant> m_downUntil;
    std::map<HostId, std::int64_t> m_maintainedBy;
    int m_lastWorker = 0;
};

} // namespace

TEST_CASE("HostPlanner_wavesMovesAndLateAnswers_keepLimitsAndBudgets", "[hosts]")
{
    for (unsigned seed = 1; seed <= 200; ++seed) {
        WaveSimulation simulation(seed);
        simulation.simulate();
        INFO("seed " << seed);
        REQUIRE(simulation.violations.empty());
    }
}
