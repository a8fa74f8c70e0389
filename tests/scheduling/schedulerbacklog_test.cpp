// Backlog: the burst of a queue brings more jobs than its pool can start, and a large fleet brings
// more progress than one write can hold.
#include "../support/schedulerfixture.h"

using namespace oleanderhall;
using namespace oleanderhall::test;

namespace {

class SchedulerBacklogTest : public SchedulerTest
{
protected:
    /// Answers all polls until every worker has been read, and returns the first write.
    static ProgressWrite firstWrite(Scheduler &scheduler, Instant &now)
    {
        for (int round = 0; round < 20; ++round) {
            for (const SchedulerAction &action : scheduler.tick(now, 0)) {
                if (const auto *poll = std::get_if<PollRequest>(&action))
                    scheduler.onPollResult(*poll, CallResult::Ok, {.clock = Millis(1000)}, now,
                                           now);
                if (const auto *write = std::get_if<ProgressWrite>(&action))
                    return *write;
            }
            now += Millis(10);
        }
        FAIL("no write of progress within 200 ms");
        return {};
    }

    static void submitUnreleased(Scheduler &scheduler, std::uint64_t id, Instant now)
    {
        scheduler.addJob(makeJob(id, "pool", {makeStep(1, Millis(100))}), {.id = JobId{id}}, false,
                         now);
    }
};

} // namespace

TEST_CASE_METHOD(SchedulerBacklogTest, "Scheduler_moreProgressThanAWriteHolds_recordsEachJobInTurn",
                 "[scheduler]")
{
    // Guards against starvation: jobs were written in the order of their ids, so that the changes
    // of low ids kept the releases of high ids waiting.
    SchedulerSettings settings;
    settings.maxJobsPerWrite = 2;
    Scheduler busy(settings, 0, now - std::chrono::minutes(1));
    busy.setWorkers({makeWorker("w1", "pool", 8000)}, now);
    for (std::uint64_t id = 1; id <= 5; ++id)
        submitUnreleased(busy, id, now);
    std::set<JobId> written;
    for (int round = 0; round < 3; ++round) {
        const ProgressWrite write = firstWrite(busy, now);
        for (const JobProgress &update : write.updates)
            written.insert(update.id);
        busy.onProgressWritten(write.batch, true, now);
        // The jobs with the lowest ids change again before the next write.
        busy.cancel(JobId{static_cast<std::uint64_t>(round) + 1}, now);
        now += settings.recordInterval;
    }
    CHECK(written.size() == 5);
}

TEST_CASE_METHOD(SchedulerBacklogTest, "Scheduler_largePool_releasesJobsInProportion",
                 "[scheduler]")
{
    // Guards against a pool that starves: with 12 releases for each write, a pool of 268 hosts
    // could start no more than 200 jobs a second.
    constexpr int kWorkers = 200;
    constexpr std::size_t kExpected = 50;
    Scheduler large(SchedulerSettings{}, 0, now - std::chrono::minutes(1));
    std::vector<WorkerInfo> workers;
    for (int index = 0; index < kWorkers; ++index)
        workers.push_back(makeWorker("w" + std::to_string(index), "pool", 8000));
    large.setWorkers(workers, now);
    for (std::uint64_t id = 1; id <= 2 * kExpected; ++id)
        submitUnreleased(large, id, now);
    CHECK(firstWrite(large, now).updates.size() == kExpected);
}

TEST_CASE_METHOD(SchedulerBacklogTest, "Scheduler_urgentJobBehindABacklog_startsWithTheNextRanking",
                 "[scheduler]")
{
    // The order of a backlog is used for several ticks; a job that is accepted meanwhile must not
    // wait for the end of the backlog.
    constexpr std::uint64_t kUrgent = 999;
    syncAllWorkers();
    submit(makeJob(1, "pool", {makeStep(16, Millis(100))}));
    const std::vector<StartCommand> starts = tick<StartCommand>();
    REQUIRE(starts.size() == 16);
    confirm(starts);
    for (std::uint64_t id = 2; id <= 300; ++id) {
        JobSpec job = makeJob(id, "pool", {makeStep(1, Millis(100))});
        job.queue.priority = 1;
        submit(job);
    }
    CHECK(tick<StartCommand>().empty());
    submit(makeJob(kUrgent, "pool", {makeStep(1, Millis(100))}));
    advance(Millis(10));
    std::vector<ActiveRun> running;
    for (const StartCommand &start : starts) {
        if (start.worker == w1 && start.task.index != starts[0].task.index)
            running.push_back({.task = start.task, .run = start.run});
    }
    REQUIRE(starts[0].worker == w1);
    answerPoll(nextPoll(w1), running,
               {{.sequence = 1, .task = starts[0].task, .run = starts[0].run}});
    const std::vector<StartCommand> next = tick<StartCommand>();
    REQUIRE(next.size() == 1);
    CHECK(next[0].task.job == JobId{kUrgent});
}
