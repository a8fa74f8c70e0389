// Shares of a full pool across several successive owners. Guards against an owner that doesn't
// count the runs it has inherited, so that teams lose their shares with each take-over.
#include "../support/fakefleet.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <memory>

using namespace oleanderhall;
using namespace oleanderhall::test;

namespace {

constexpr Millis kStep{10};
constexpr int kSteps = 400;
constexpr int kCores = 16;
constexpr Millis kLongestTask{300};
constexpr Millis kReadTime{50}; // until a new owner has read both workers
constexpr int kWaitingJobs = 12; // of each team

/// Two workers of 8 cores, teams that always have waiting jobs, and owners in turn.
class SharedPool
{
public:
    explicit SharedPool(std::vector<TeamConfig> teams)
        : m_teams(std::move(teams))
    {
        for (const char *const id : {"w1", "w2"})
            m_workers[WorkerId(id)] = FakeWorker(makeWorker(id, "pool", 1000 * kCores / 2),
                                                 Millis(0));
        for (const TeamConfig &team : m_teams)
            m_weights += team.weight;
    }

    void takeOver()
    {
        m_scheduler = std::make_unique<Scheduler>(SchedulerSettings{}, ++m_token, m_now);
        m_scheduler->setTeams({1}, m_teams, m_now);
        std::vector<WorkerInfo> infos;
        std::vector<HostInfo> hosts;
        for (const auto &[id, worker] : m_workers) {
            infos.push_back(worker.info);
            hosts.push_back({.id = HostId("host of " + id.name()),
                             .pool = worker.info.pool,
                             .state = HostInfo::State::Ready,
                             .worker = id});
        }
        m_scheduler->setWorkers(infos, m_now);
        m_scheduler->updateHosts(hosts, m_now, m_now);
        for (const auto &[id, stored] : m_store)
            m_scheduler->addJob(stored.first, stored.second, true, m_now);
        m_settledAt = m_now + kReadTime + kLongestTask;
    }

    /// Advances by kStep. Returns whether each team has its share, rounded down.
    bool step()
    {
        m_now += kStep;
        submitJobs();
        for (auto &[id, worker] : m_workers)
            worker.step(m_now);
        const std::vector<SchedulerAction> actions = m_scheduler->tick(m_now, 0);
        const bool isShared = m_now < m_settledAt || hasShares(); // before further ends are read
        for (const SchedulerAction &action : actions)
            std::visit([this](const auto &concrete) { execute(concrete); }, action);
        m_scheduler->takeDecisions();
        return isShared;
    }

private:
    bool hasShares() const
    {
        for (const TeamLoad &load : m_scheduler->teamLoads(m_now)) {
            const auto share = static_cast<int>(kCores * load.weight / m_weights);
            if (load.running.milliCores < 1000 * share) {
                RC_LOG() << load.team.name() << " runs " << load.running.milliCores
                         << " millicores, its share is " << share << " cores\n";
                return false;
            }
        }
        return true;
    }

    void submitJobs()
    {
        for (const TeamLoad &load : m_scheduler->teamLoads(m_now)) {
            for (auto count = load.waitingJobs; count < kWaitingJobs; ++count) {
                JobSpec job = makeJob(++m_lastJob, "pool", {makeStep(4, Millis(100))});
                job.team = load.team;
                const JobProgress progress{.id = job.id, .team = job.team, .isReleased = true};
                m_store[job.id] = {job, progress};
                m_scheduler->addJob(job, progress, false, m_now);
            }
        }
    }

    void execute(const StartCommand &command)
    {
        const Millis length(50 + 10 * static_cast<int>(command.task.job.value % 26));
        const CallResult result = m_workers.at(command.worker)
                                      .start(command, m_token, m_now, m_now + length,
                                             RunOutcome::Done);
        m_scheduler->onStartResult(command, result, m_now);
    }
    void execute(const StopCommand &command)
    {
        m_scheduler->onStopResult(
            command, m_workers.at(command.worker).stop(command, m_token, m_now), m_now);
    }
    void execute(const PollRequest &request)
    {
        WorkerStatus status;
        const CallResult result = m_workers.at(request.worker)
                                      .poll(request, m_token, m_now, status);
        m_scheduler->onPollResult(request, result, status, m_now, m_now);
    }
    void execute(const ProgressWrite &write)
    {
        for (const JobProgress &update : write.updates) {
            if (isFinal(update.state))
                m_store.erase(update.id);
            else
                m_store.at(update.id).second = update;
        }
        m_scheduler->onProgressWritten(write.batch, true, m_now);
    }
    void execute(const CpuLimitCommand &) {}
    void execute(const AdviceRequest &) {}

    std::vector<TeamConfig> m_teams;
    double m_weights = 0;
    std::map<WorkerId, FakeWorker> m_workers;
    std::map<JobId, std::pair<JobSpec, JobProgress>> m_store;
    std::unique_ptr<Scheduler> m_scheduler;
    Instant m_now{std::chrono::hours(1)};
    Instant m_settledAt;
    std::int64_t m_token = 0;
    std::uint64_t m_lastJob = 0;
};

} // namespace

TEST_CASE("Scheduler_ownersInTurnInAFullPool_eachTeamHasItsShare", "[scheduler][teams]")
{
    CHECK(rc::check("each team has its share", [] {
        std::vector<TeamConfig> teams;
        const int count = *rc::gen::inRange(2, 6);
        for (int index = 0; index < count; ++index)
            teams.push_back({.id = TeamId("team" + std::to_string(index)),
                             .weight = 1000.0 * *rc::gen::inRange(1, 5)}); // above any rate here
        const int term = *rc::gen::inRange(60, 200); // in steps
        SharedPool pool(teams);
        for (int step = 0; step < kSteps; ++step) {
            if (step % term == 0)
                pool.takeOver();
            RC_ASSERT(pool.step());
        }
    }));
}
