// Guards against one task that crashes worker after worker, and against jobs that are given up
// because they shared a worker with it. The load: a burst of batch jobs that fills the pool, a
// tenth of which have such a task.
#include "../support/schedulerfixture.h"

#include <algorithm>

using namespace oleanderhall;
using namespace oleanderhall::test;

namespace {

/// A pool of workers of 64 cores. A task of a deadly job crashes its worker when it starts; another
/// one takes the worker's place on the host after some seconds.
class CrashWorld
{
public:
    static constexpr Millis kStep{10};
    static constexpr Millis kRunTime{800};

    explicit CrashWorld(int hosts)
    {
        for (int index = 0; index < hosts; ++index)
            m_hosts.push_back({.id = HostId("h" + std::to_string(index)),
                               .worker = makeWorker("w" + std::to_string(index), "pool", 64000)});
        list();
        run(Millis(1000)); // until no stop of an earlier owner is under way
    }

    /// Submits a job of `tasks` tasks; the first one is deadly if `isDeadly`.
    void submit(std::uint64_t id, int tasks, bool isDeadly)
    {
        StepSpec step = makeStep(tasks, kRunTime);
        step.need = {.milliCores = 3500, .memoryMb = 10};
        if (isDeadly)
            m_deadly.insert(JobId{id});
        m_scheduler->addJob(makeJob(id, "pool", {step}), {.id = JobId{id}, .isReleased = true},
                            false, now);
    }

    void run(Millis time)
    {
        for (const Instant end = now + time; now < end; now += kStep)
            step();
    }

    /// Replaces the owner; its successor knows what was recorded.
    void changeOwner()
    {
        std::map<JobId, std::pair<JobSpec, JobProgress>> jobs;
        for (const auto &[id, job] : m_scheduler->jobs()) {
            const auto record = m_records.find(id);
            const JobProgress progress = record != m_records.end()
                ? record->second
                : JobProgress{.id = id, .isReleased = true};
            jobs[id] = {job.spec, progress};
        }
        m_scheduler.emplace(SchedulerSettings{}, ++m_generation, now);
        list();
        for (auto &[id, job] : jobs)
            m_scheduler->addJob(job.first, job.second, true, now);
    }

    JobState stateOf(std::uint64_t id) const { return m_scheduler->jobs().at(JobId{id}).state; }
    int startsOf(const TaskId &task) const
    {
        const auto found = m_starts.find(task);
        return found == m_starts.end() ? 0 : found->second;
    }

    int crashes = 0;
    Instant now{std::chrono::hours(1)};

private:
    struct Host
    {
        HostId id;
        WorkerInfo worker;
        bool isUp = true;
        Instant upAt; ///< When the next worker runs, after a crash.
        std::map<TaskId, std::pair<std::int64_t, Instant>> running; ///< Run and end of each.
        std::vector<EndedRun> ended;
        std::int64_t ends = 0;
    };
    static constexpr Millis kRestartTime{3000};
    static constexpr Millis kHostListInterval{300};

    void list()
    {
        std::vector<WorkerInfo> workers;
        std::vector<HostInfo> hosts;
        for (const Host &host : m_hosts) {
            if (host.isUp)
                workers.push_back(host.worker);
            hosts.push_back({.id = host.id,
                             .pool = PoolId("pool"),
                             .state = host.isUp ? HostInfo::State::Ready : HostInfo::State::Down,
                             .worker = host.isUp ? host.worker.id : WorkerId()});
        }
        m_scheduler->setWorkers(workers, now);
        m_scheduler->updateHosts(hosts, now, now);
        m_nextList = now + kHostListInterval;
    }

    Host *hostOf(WorkerId worker)
    {
        const auto found = std::find_if(m_hosts.begin(), m_hosts.end(), [&](const Host &host) {
            return host.isUp && host.worker.id == worker;
        });
        return found == m_hosts.end() ? nullptr : &*found;
    }

    void crash(Host &host)
    {
        ++crashes;
        host = {.id = host.id,
                .worker = makeWorker("w" + std::to_string(crashes) + "-" + host.id.name(), "pool",
                                     64000),
                .isUp = false,
                .upAt = now + kRestartTime};
    }

    void handle(const StartCommand &command)
    {
        Host *host = hostOf(command.worker);
        if (!host) {
            m_scheduler->onStartResult(command, CallResult::NotSent, now);
            return;
        }
        ++m_starts[command.task];
        if (m_deadly.contains(command.task.job) && command.task.index == 0) {
            crash(*host);
            m_scheduler->onStartResult(command, CallResult::Unknown, now);
            return;
        }
        host->running[command.task] = {command.run, now + kRunTime};
        m_scheduler->onStartResult(command, CallResult::Ok, now);
    }
    void handle(const StopCommand &command)
    {
        Host *host = hostOf(command.worker);
        if (host)
            host->running.erase(command.task);
        m_scheduler->onStopResult(command, host ? CallResult::Ok : CallResult::NotSent, now);
    }
    void handle(const PollRequest &request)
    {
        Host *host = hostOf(request.worker);
        if (!host) {
            m_scheduler->onPollResult(request, CallResult::NotSent, {}, now, now);
            return;
        }
        std::erase_if(host->ended, [&](const EndedRun &ended) {
            return ended.sequence <= request.acknowledgedEnd;
        });
        WorkerStatus status{.clock = std::chrono::duration_cast<Millis>(now.time_since_epoch()),
                            .ended = host->ended};
        for (const auto &[task, run] : host->running)
            status.running.push_back({.task = task, .run = run.first});
        m_scheduler->onPollResult(request, CallResult::Ok, status, now, now);
    }
    void handle(const ProgressWrite &write)
    {
        for (const JobProgress &update : write.updates)
            m_records[update.id] = update;
        m_scheduler->onProgressWritten(write.batch, true, now);
    }
    void handle(const CpuLimitCommand &) {}
    void handle(const AdviceRequest &) {}

    void step()
    {
        for (Host &host : m_hosts) {
            for (auto run = host.running.begin(); run != host.running.end();) {
                if (run->second.second > now) {
                    ++run;
                    continue;
                }
                host.ended.push_back({.sequence = ++host.ends,
                                      .task = run->first,
                                      .run = run->second.first,
                                      .runOutcome = RunOutcome::Done});
                run = host.running.erase(run);
            }
            host.isUp = host.isUp || now >= host.upAt;
        }
        if (now >= m_nextList)
            list();
        for (const SchedulerAction &action : m_scheduler->tick(now, 0))
            std::visit([this](const auto &request) { handle(request); }, action);
    }

    std::optional<Scheduler> m_scheduler{std::in_place, SchedulerSettings{}, 0, now};
    std::int64_t m_generation = 0;
    std::vector<Host> m_hosts;
    std::set<JobId> m_deadly;
    std::map<TaskId, int> m_starts;
    std::map<JobId, JobProgress> m_records;
    Instant m_nextList;
};

} // namespace

TEST_CASE("Scheduler_taskCrashesItsWorkers_isGivenUpBeforeTheFourthCrash", "[scheduling]")
{
    CrashWorld world(8);
    world.submit(1, 6, true);
    world.run(Millis(20000));
    CHECK(world.stateOf(1) == JobState::Failed);
    CHECK(world.crashes <= 3);
}

TEST_CASE("Scheduler_tenthOfABurstCrashesWorkers_onlyTheseJobsAreGivenUp", "[scheduling]")
{
    CrashWorld world(24);
    constexpr std::uint64_t kJobs = 100;
    for (std::uint64_t id = 1; id <= kJobs; ++id) {
        world.submit(id, 6, id % 10 == 0);
        world.run(Millis(100));
    }
    world.run(Millis(60000));
    for (std::uint64_t id = 1; id <= kJobs; ++id) {
        INFO("job " << id);
        CHECK(world.stateOf(id) == (id % 10 == 0 ? JobState::Failed : JobState::Completed));
        if (id % 10 == 0)
            CHECK(world.startsOf({.job = JobId{id}}) <= 3);
    }
}

TEST_CASE("Scheduler_poolStaysFullWhileTasksCrashWorkers_suspectsStillRunApart", "[scheduling]")
{
    // Guards against suspected tasks that find no worker without other jobs in a pool without room,
    // so that each crash goes on to cost sound jobs their runs. Jobs arrive faster than the pool
    // can run them.
    CrashWorld world(8);
    constexpr std::uint64_t kJobs = 360;
    const auto isDeadly = [](std::uint64_t id) { return id <= 100 && id % 25 == 0; };
    for (std::uint64_t id = 1; id <= kJobs; ++id) {
        world.submit(id, 8, isDeadly(id));
        world.run(Millis(30));
    }
    world.run(Millis(60000));
    for (std::uint64_t id = 1; id <= kJobs; ++id) {
        INFO("job " << id);
        CHECK(world.stateOf(id) == (isDeadly(id) ? JobState::Failed : JobState::Completed));
        if (isDeadly(id))
            CHECK(world.startsOf({.job = JobId{id}}) <= 3);
    }
}

TEST_CASE("Scheduler_ownersChangeBetweenCrashes_successorsCountThemAll", "[scheduling]")
{
    CrashWorld world(8);
    world.submit(1, 1, true);
    for (int owner = 0; owner < 6; ++owner) {
        world.run(Millis(1500));
        world.changeOwner();
    }
    world.run(Millis(20000));
    CHECK(world.stateOf(1) == JobState::Failed);
    // The rule of the platform: no more than two starts after three crashes.
    CHECK(world.crashes <= 5);
}

TEST_CASE("Scheduler_workersCrashAsSoonAsTheyJoin_areCountedToo", "[scheduling]")
{
    // Guards against crashes that are taken for the end of a stop that an earlier owner has sent:
    // a full pool starts tasks on a worker as soon as it has joined.
    CrashWorld world(2);
    world.submit(1, 1, true);
    world.run(Millis(20000));
    CHECK(world.stateOf(1) == JobState::Failed);
    CHECK(world.crashes <= 3);
}

TEST_CASE_METHOD(SchedulerTest, "Scheduler_suspectedLongRunningTaskIsReady_sharesItsWorkerAgain",
                 "[scheduling]")
{
    // Guards against a pool whose workers are all kept for long-running tasks that crashes of their
    // earlier workers have made suspect.
    scheduler.setWorkers({makeWorker("n", "pool", 8000)}, now);
    scheduler.updateHosts({makeHost("h", WorkerId("n"))}, now, now);
    syncAllWorkers();
    JobSpec job = longRunningJob(1, 1, 1);
    const JobProgress progress{.id = job.id, .isReleased = true, .tasks = {{.crashes = 2}}};
    scheduler.addJob(job, progress, false, now);
    const std::vector<StartCommand> starts = tick<StartCommand>();
    REQUIRE(starts.size() == 1);
    confirm(starts);
    submit(makeJob(2, "pool", {makeStep(1, Millis(500))}));
    advance(Millis(10));
    CHECK(tick<StartCommand>().empty());
    reportReady(starts);
    advance(Millis(10));
    CHECK(tick<StartCommand>().size() == 1);
}

TEST_CASE_METHOD(SchedulerTest, "Scheduler_workersDrainAndLeave_theirTasksAreNotSuspected",
                 "[scheduling]")
{
    // Guards against jobs that are given up because their workers are taken away.
    submit(makeJob(1, "pool", {makeStep(1, Millis(60000))}));
    for (int round = 0; round < 6; ++round) {
        WorkerInfo worker = makeWorker("n" + std::to_string(round), "pool", 8000);
        scheduler.setWorkers({worker}, now);
        scheduler.updateHosts({makeHost("h1", worker.id)}, now, now);
        syncAllWorkers();
        const std::vector<StartCommand> starts = tick<StartCommand>();
        REQUIRE(starts.size() == 1);
        confirm(starts);
        worker.isDraining = true;
        scheduler.setWorkers({worker}, now);
        advance(Millis(10));
        scheduler.updateHosts({makeHost("h1", WorkerId())}, now, now);
    }
    CHECK(scheduler.jobs().at(JobId{1}).state == JobState::Running);
}

namespace {

/// Two workers that were read, and jobs under whose first task workers have crashed.
class SchedulerCrashTest : public SchedulerTest
{
protected:
    static constexpr Millis kRankingTime{10}; // until steps are ranked again

    SchedulerCrashTest() { syncAllWorkers(); }

    void occupyWorkers()
    {
        StepSpec step = makeStep(2, Millis(60000));
        step.maxPerWorker = 1;
        submit(makeJob(9, "pool", {step}));
        const std::vector<StartCommand> starts = tick<StartCommand>();
        REQUIRE(starts.size() == 2);
        confirm(starts);
        advance(kRankingTime);
    }

    void submitAfterCrashes(JobSpec job, int crashes)
    {
        const JobId id = job.id;
        scheduler.addJob(std::move(job),
                         {.id = id, .isReleased = true, .tasks = {{.crashes = crashes}}}, false,
                         now);
    }

    /// The same for a job that this owner has taken over, long after it was accepted.
    void inheritAfterCrashes(JobSpec job, int crashes)
    {
        const JobId id = job.id;
        scheduler.addJob(std::move(job),
                         {.id = id, .isReleased = true, .tasks = {{.crashes = crashes}}}, true,
                         now - Millis(30000));
    }

    JobState stateOf(std::uint64_t id) const { return scheduler.jobs().at(JobId{id}).state; }
};

} // namespace

TEST_CASE_METHOD(SchedulerCrashTest,
                 "Scheduler_isolatedLongRunningTaskIsReady_otherJobsStartOnItsWorker",
                 "[scheduling]")
{
    // Guards against workers that one service keeps from all other jobs until it ends.
    scheduler.setWorkers({makeWorker("w1", "pool", 8000)}, now);
    submitAfterCrashes(longRunningJob(1, 1, 0), 2);
    const std::vector<StartCommand> starts = tick<StartCommand>();
    REQUIRE(starts.size() == 1);
    confirm(starts);
    submit(makeJob(2, "pool", {makeStep(1, Millis(500))}));
    advance(kRankingTime);
    CHECK(tick<StartCommand>().empty());
    advance(kRankingTime);
    reportReady(starts);
    CHECK(tick<StartCommand>().size() == 1);
}

TEST_CASE_METHOD(SchedulerCrashTest, "Scheduler_ownerChangesDuringAnIsolatedRun_runStaysIsolated",
                 "[scheduling]")
{
    // Guards against successors who start other jobs' tasks beside a task that crashes workers.
    scheduler.setWorkers({makeWorker("w1", "pool", 8000)}, now);
    inheritAfterCrashes(makeJob(1, "pool", {makeStep(1, Millis(500))}), 2);
    answerPoll({.worker = w1}, {{.task = {.job = JobId{1}}, .run = 5}});
    submit(makeJob(2, "pool", {makeStep(1, Millis(500))}));
    CHECK(tick<StartCommand>().empty());
}

TEST_CASE_METHOD(SchedulerCrashTest,
                 "Scheduler_ownerChangesLongAfterTheJobCame_taskWithCrashesStillWaitsToBeIsolated",
                 "[scheduling]")
{
    // Guards against successors who let a task crash the workers of other jobs again.
    occupyWorkers();
    inheritAfterCrashes(makeJob(1, "pool", {makeStep(1, Millis(500))}), 2);
    CHECK(tick<StartCommand>().empty());
    advance(Millis(5100));
    reportReady({});
    CHECK(tick<StartCommand>().size() == 1);
}

TEST_CASE_METHOD(SchedulerCrashTest, "Scheduler_taskWaitsToBeIsolated_othersOfItsStepStart",
                 "[scheduling]")
{
    occupyWorkers();
    submitAfterCrashes(makeJob(1, "pool", {makeStep(3, Millis(500))}), 2);
    CHECK(tick<StartCommand>().size() == 2);
}

TEST_CASE_METHOD(SchedulerCrashTest, "Scheduler_oneHostCrashesTwice_soundJobIsNotGivenUp",
                 "[scheduling]")
{
    // Guards against jobs that are given up because of a faulty host.
    submit(makeJob(1, "pool", {makeStep(1, Millis(60000))}));
    for (int round = 0; round < 2; ++round) {
        const WorkerInfo worker = makeWorker("n" + std::to_string(round), "pool", 8000);
        scheduler.setWorkers({worker}, now);
        scheduler.updateHosts({makeHost("h1", worker.id)}, now, now);
        syncAllWorkers();
        confirm(tick<StartCommand>());
        advance(Millis(10));
        scheduler.updateHosts({makeHost("h1", WorkerId())}, now, now);
    }
    CHECK(stateOf(1) == JobState::Running);
}

TEST_CASE_METHOD(SchedulerCrashTest, "Scheduler_workerRestartsAgainBeforeItAnswers_isOneCrash",
                 "[scheduling]")
{
    // Guards against jobs that are given up for restarts of a worker on which they never ran.
    WorkerInfo worker = makeWorker("w1", "pool", 8000);
    const auto restart = [&] {
        ++worker.started.value;
        advance(Millis(10));
        scheduler.setWorkers({worker}, now);
    };
    restart();
    submit(makeJob(1, "pool", {makeStep(1, Millis(500))}));
    const std::vector<StartCommand> starts = tick<StartCommand>();
    REQUIRE(starts.size() == 1);
    scheduler.onStartResult(starts.front(), CallResult::Unknown, now);
    for (int restarts = 0; restarts < 5; ++restarts)
        restart();
    CHECK(stateOf(1) == JobState::Running);
}

TEST_CASE_METHOD(SchedulerCrashTest,
                 "Scheduler_otherTasksOfTheJobEndAllTheTime_taskWithRecordedCrashesStarts",
                 "[scheduling]")
{
    // Guards against a task that waits until all others of a large job have ended.
    occupyWorkers();
    StepSpec step = makeStep(2, Millis(60000));
    step.maxPerWorker = 1;
    submitAfterCrashes(makeJob(1, "pool", {step}), 1);
    const std::vector<StartCommand> starts = tick<StartCommand>();
    REQUIRE(starts.size() == 2);
    confirm(starts);
    const StartCommand &crashing = starts.front().task.index == 0 ? starts.front() : starts.back();
    const StartCommand &sound = starts.front().task.index == 0 ? starts.back() : starts.front();
    advance(Millis(400));
    scheduler.setWorkers({makeWorker("w1", "pool", 8000), makeWorker("w2", "pool", 8000),
                          makeWorker("w3", "pool", 8000)},
                         now);
    answerPoll({.worker = WorkerId("w3")});
    for (const ProgressWrite &write : std::exchange(writes, {}))
        scheduler.onProgressWritten(write.batch, true, now);
    advance(Millis(10));
    const auto hostOf = [&](WorkerId worker) {
        return makeHost(worker == w1 ? "h1" : "h2",
                        worker == crashing.worker ? WorkerId() : worker);
    };
    scheduler.updateHosts({hostOf(w1), hostOf(w2)}, now, now);
    advance(Millis(60));
    tick<StartCommand>();
    REQUIRE(writes.size() == 1);
    answerPoll({.worker = sound.worker}, {},
               {{.sequence = 1, .task = sound.task, .run = sound.run}});
    scheduler.onProgressWritten(writes.front().batch, true, now);
    const std::vector<StartCommand> again = tick<StartCommand>();
    CHECK(std::any_of(again.begin(), again.end(),
                      [&](const StartCommand &start) { return start.task == crashing.task; }));
}

TEST_CASE_METHOD(SchedulerCrashTest, "Scheduler_isolatedTasksRunForLong_otherJobsStartBesideThem",
                 "[scheduling]")
{
    // Guards against a pool whose workers each run one small task, after crashes under many tasks.
    submitAfterCrashes(makeJob(1, "pool", {makeStep(1, Millis(60000))}), 2);
    submitAfterCrashes(makeJob(2, "pool", {makeStep(1, Millis(60000))}), 2);
    const std::vector<StartCommand> starts = tick<StartCommand>();
    REQUIRE(starts.size() == 2);
    REQUIRE(starts.front().worker != starts.back().worker);
    confirm(starts);
    submit(makeJob(3, "pool", {makeStep(1, Millis(500))}));
    advance(kRankingTime);
    CHECK(tick<StartCommand>().empty());
    advance(Millis(2500));
    for (const StartCommand &start : starts)
        answerPoll({.worker = start.worker},
                   {{.task = start.task, .run = start.run, .progressPercent = 5}});
    CHECK(tick<StartCommand>().size() == 1);
}

TEST_CASE_METHOD(SchedulerTest, "Scheduler_hostCommandMayEndAWorker_tasksThatCrashedOthersWait",
                 "[scheduling]")
{
    // Guards against further crashes that are taken for the effect of a command to the host.
    syncAllWorkers();
    for (const WorkerId worker : {w1, w2})
        scheduler.distrustRuns(worker, now + Millis(1000));
    JobProgress progress{.id = {1}, .isReleased = true};
    progress.tasks.push_back({.crashes = 1});
    scheduler.addJob(makeJob(1, "pool", {makeStep(1, Millis(100))}), progress, false, now);
    submit(makeJob(2, "pool", {makeStep(1, Millis(100))}));
    const std::vector<StartCommand> starts = tick<StartCommand>();
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].task.job == JobId{2});
    advance(Millis(1000));
    CHECK(tick<StartCommand>().size() == 1);
}

TEST_CASE_METHOD(SchedulerCrashTest,
                 "Scheduler_hostsCrashUnderAServiceTaskThatStarts_itsReadyTasksGoOn",
                 "[scheduling]")
{
    // Guards against a service that is stopped as a whole because two hosts crash in a row.
    JobSpec job = longRunningJob(1, 3, 1);
    job.steps.front().maxPerWorker = 1;
    submit(std::move(job));
    for (int round = 0; round < 2; ++round) {
        const WorkerInfo worker = makeWorker("n" + std::to_string(round), "pool", 8000);
        const std::string host = "x" + std::to_string(round);
        scheduler.setWorkers(
            {makeWorker("w1", "pool", 8000), makeWorker("w2", "pool", 8000), worker}, now);
        scheduler.updateHosts(
            {makeHost("h1", w1), makeHost("h2", w2), makeHost(host.c_str(), worker.id)}, now, now);
        answerPoll({.worker = worker.id});
        advance(kRankingTime);
        const std::vector<StartCommand> starts = tick<StartCommand>();
        confirm(starts);
        for (const StartCommand &start : starts) {
            if (start.worker != worker.id)
                answerPoll({.worker = start.worker}, {readyRun(start)});
        }
        advance(kRankingTime);
        scheduler.updateHosts(
            {makeHost("h1", w1), makeHost("h2", w2), makeHost(host.c_str(), WorkerId())}, now, now);
    }
    CHECK(stateOf(1) == JobState::Running);
}

TEST_CASE_METHOD(SchedulerCrashTest, "Scheduler_racksFailTwice_soundJobIsNotGivenUp",
                 "[scheduling]")
{
    // Guards against large jobs that are given up because racks under them fail.
    StepSpec step = makeStep(2, Millis(60000));
    step.need.milliCores = 8000;
    submit(makeJob(1, "pool", {step}));
    for (const std::string rack : {"r0", "r1"}) {
        const std::vector<WorkerInfo> workers{makeWorker("a" + rack, "pool", 8000),
                                              makeWorker("b" + rack, "pool", 8000)};
        scheduler.setWorkers(workers, now);
        const auto list = [&](bool areUp) {
            std::vector<HostInfo> hosts;
            for (const WorkerInfo &worker : workers)
                hosts.push_back(
                    makeHost(("host-" + worker.id.name()).c_str(), areUp ? worker.id : WorkerId()));
            scheduler.updateHosts(hosts, now, now);
        };
        list(true);
        syncAllWorkers();
        const std::vector<StartCommand> starts = tick<StartCommand>();
        REQUIRE(starts.size() == 2);
        confirm(starts);
        advance(kRankingTime);
        list(false);
    }
    CHECK(stateOf(1) == JobState::Running);
}

TEST_CASE_METHOD(SchedulerCrashTest, "Scheduler_readyServiceCrashesItsWorkers_batchJobIsNotGivenUp",
                 "[scheduling]")
{
    // Guards against batch jobs that are given up for a service that crashes after it was ready.
    startOnBothWorkers();
    submit(makeJob(2, "pool", {makeStep(1, Millis(60000))}));
    std::vector<HostInfo> hosts{makeHost("h1", w1), makeHost("h2", w2)};
    for (int round = 0; round < 2; ++round) {
        advance(kRankingTime);
        const std::vector<StartCommand> starts = tick<StartCommand>();
        const auto batch = std::find_if(starts.begin(), starts.end(), [](const auto &start) {
            return start.task.job == JobId{2};
        });
        REQUIRE(batch != starts.end());
        confirm(starts);
        HostInfo &host = hosts.at(batch->worker == w1 ? 0 : 1);
        host = makeHost(host.id.name().c_str(), WorkerId());
        advance(kRankingTime);
        scheduler.updateHosts(hosts, now, now);
    }
    CHECK(stateOf(2) == JobState::Running);
}

TEST_CASE_METHOD(SchedulerCrashTest,
                 "Scheduler_hostsAreListedAfterTheLeasesOfACrashedWorker_crashIsCounted",
                 "[.][open]")
{
    // Guards against a task that crashes workers without limit while no list of hosts can be read.
    submitAfterCrashes(makeJob(1, "pool", {makeStep(1, Millis(60000))}), 1);
    const std::vector<StartCommand> starts = tick<StartCommand>();
    REQUIRE(starts.size() == 1);
    confirm(starts);
    const WorkerId crashed = starts.front().worker;
    const Instant end = now + Millis(15000);
    while (now < end) {
        for (const PollRequest &request : tick<PollRequest>()) {
            if (request.worker == crashed)
                scheduler.onPollResult(request, CallResult::NotSent, {}, now, now);
            else
                answerPoll(request);
        }
        advance(Millis(50));
    }
    REQUIRE(scheduler.workers().at(crashed).runs.empty());
    scheduler.updateHosts({makeHost("h1", crashed == w1 ? WorkerId() : w1),
                           makeHost("h2", crashed == w2 ? WorkerId() : w2)},
                          now, now);
    CHECK(scheduler.jobs().at(JobId{1}).occurrences.front().steps.front().tasks.front().crashes
          == 2);
}
