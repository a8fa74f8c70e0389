// Placement: which tasks the Scheduler starts, and on which workers.
#include "../support/schedulerfixture.h"

using namespace oleanderhall;
using namespace oleanderhall::test;

TEST_CASE_METHOD(SchedulerTest, "Scheduler_drainingWorker_getsNoTask", "[scheduler]")
{
    syncAllWorkers();
    WorkerInfo draining = makeWorker("w1", "pool", 8000);
    draining.isDraining = true;
    scheduler.setWorkers({draining, makeWorker("w2", "pool", 8000)}, now);
    submit(makeJob(1, "pool", {makeStep(4, Millis(100))}));
    for (const StartCommand &command : tick<StartCommand>())
        CHECK(command.worker == w2);
}

TEST_CASE_METHOD(SchedulerTest, "Scheduler_antiaffinity_limitsTasksOnOneWorker", "[scheduler]")
{
    syncAllWorkers();
    StepSpec step = makeStep(4, Millis(100));
    step.maxPerWorker = 1;
    submit(makeJob(1, "pool", {step}));
    CHECK(tick<StartCommand>().size() == 2);
}

TEST_CASE_METHOD(SchedulerTest, "Scheduler_gangWithoutRoomForAll_startsNone", "[scheduler]")
{
    syncAllWorkers();
    StepSpec step = makeStep(17, Millis(100));
    step.isGang = true;
    submit(makeJob(1, "pool", {step}));
    CHECK(tick<StartCommand>().empty());
    step.count = 16;
    submit(makeJob(2, "pool", {step}));
    advance(Millis(200));
    const std::vector<StartCommand> starts = tick<StartCommand>();
    REQUIRE(starts.size() == 16);
    for (const StartCommand &command : starts)
        CHECK(command.run == starts[0].run);
}

TEST_CASE_METHOD(SchedulerTest, "Scheduler_gangDoesNotFit_jobStaysQueuedAndKeepsItsRunNumbers",
                 "[scheduler]")
{
    // Guards against a waiting job that is shown as running, and against run numbers that reach the
    // range of the next owner after some minutes.
    syncAllWorkers();
    StepSpec step = makeStep(17, Millis(100));
    step.isGang = true;
    submit(makeJob(1, "pool", {step}));
    for (int attempt = 0; attempt < 50; ++attempt) {
        CHECK(tick<StartCommand>().empty());
        advance(Millis(200));
    }
    const TrackedJob &job = scheduler.jobs().at({1});
    CHECK(job.state == JobState::Queued);
    CHECK(job.occurrences[0].steps[0].placedTasks == 0);
    for (const TrackedTask &task : job.occurrences[0].steps[0].tasks)
        CHECK(task.lastRun == 0);
    for (const Decision &decision : scheduler.takeDecisions())
        CHECK(std::string(decision.event) != "job_started");
}

TEST_CASE_METHOD(SchedulerTest, "Scheduler_queueWithAdvice_asksOnceAndStartsOnlyWithATicket",
                 "[scheduler]")
{
    syncAllWorkers();
    JobSpec job = makeJob(1, "pool", {makeStep(3, Millis(100))});
    job.queue.advice = AdviceConfig{.ticketLifetime = Millis(3000)};
    submit(job);
    std::vector<AdviceRequest> requests;
    int starts = 0;
    const auto collect = [&] {
        for (const SchedulerAction &action : scheduler.tick(now, 0)) {
            if (const auto *request = std::get_if<AdviceRequest>(&action))
                requests.push_back(*request);
            if (const auto *start = std::get_if<StartCommand>(&action)) {
                ++starts;
                CHECK(start->worker == w2);
                CHECK(start->ticket == "ticket");
            }
        }
    };
    collect();
    advance(Millis(200));
    collect();
    REQUIRE(requests.size() == 1);
    CHECK(starts == 0);
    scheduler.onAdviceResult(requests[0], true, {{w2, "ticket"}}, now);
    collect();
    CHECK(starts == 3);
}

TEST_CASE_METHOD(SchedulerTest, "Scheduler_policyServiceDoesNotAnswer_isAskedAFewTimesASecond",
                 "[scheduler]")
{
    // Guards against an owner that is busy with requests to a service that refuses connections.
    syncAllWorkers();
    JobSpec job = makeJob(1, "pool", {makeStep(3, Millis(100))});
    job.queue.advice = AdviceConfig{.ticketLifetime = Millis(3000)};
    submit(job);
    int requests = 0;
    for (const Instant end = now + Millis(1000); now < end; advance(Millis(5))) {
        for (const AdviceRequest &request : tick<AdviceRequest>()) {
            ++requests;
            scheduler.onAdviceResult(request, false, {}, now);
        }
    }
    CHECK(requests >= 3);
    CHECK(requests <= 10);
}

TEST_CASE_METHOD(SchedulerTest, "Scheduler_jobNotReleased_startsOnceThatIsRecorded", "[scheduler]")
{
    syncAllWorkers();
    const JobSpec job = makeJob(1, "pool", {makeStep(2, Millis(100))});
    scheduler.addJob(job, {.id = job.id}, false, now);
    CHECK(tick<StartCommand>().empty());
    advance(Millis(100));
    CHECK(tick<StartCommand>().empty());
    REQUIRE(writes.size() == 1);
    CHECK(writes[0].updates.at(0).isReleased);
    scheduler.onProgressWritten(writes[0].batch, true, now);
    CHECK(tick<StartCommand>().size() == 2);
}

TEST_CASE_METHOD(SchedulerTest, "Scheduler_inheritedJobNotReleased_startsWithoutWaitingForLeases",
                 "[scheduler]")
{
    // Guards against needless delay after a change of owner: after the loss of the
    // owner's availability zone, jobs that were never started waited 7 s for leases to expire.
    Scheduler successor(SchedulerSettings{}, 1, now);
    successor.setWorkers({makeWorker("w1", "pool", 8000), makeWorker("w2", "pool", 8000)}, now);
    successor.updateHosts({makeHost("h1", w1), makeHost("h2", w2)}, now, now);
    const JobSpec job = makeJob(1, "pool", {makeStep(1, Millis(100))});
    successor.addJob(job, {.id = job.id}, true, now);
    int starts = 0;
    for (int step = 0; step < 50; ++step) {
        for (const SchedulerAction &action : successor.tick(now, 0)) {
            starts += std::holds_alternative<StartCommand>(action) ? 1 : 0;
            if (const auto *poll = std::get_if<PollRequest>(&action))
                successor.onPollResult(*poll,
                                       poll->worker == w1 ? CallResult::Ok : CallResult::Unknown,
                                       {.clock = Millis(1)}, now, now);
            if (const auto *write = std::get_if<ProgressWrite>(&action))
                successor.onProgressWritten(write->batch, true, now);
        }
        advance(Millis(10));
    }
    CHECK(starts == 1);
}
