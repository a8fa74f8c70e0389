// Which tasks the Scheduler starts, and where.
#include "../support/schedulerfixture.h"

using namespace oleanderhall;
using namespace oleanderhall::test;

TEST_CASE_METHOD(SchedulerTest, "Scheduler_drainingWorker_getsNoTask", "[scheduler]")
{
    readAllWorkers();
    WorkerReport draining = makeWorker("w1", "pool", 8000);
    draining.isDraining = true;
    scheduler.listWorkers({draining, makeWorker("w2", "pool", 8000)}, now);
    submit(makeJob(1, "pool", {makeStep(4, Millis(100))}));
    for (const StartOrder &order : tick<StartOrder>())
        CHECK(order.worker == w2);
}

TEST_CASE_METHOD(SchedulerTest, "Scheduler_antiaffinity_limitsTasksOnOneWorker", "[scheduler]")
{
    readAllWorkers();
    StepSpec step = makeStep(4, Millis(100));
    step.maxPerWorker = 1;
    submit(makeJob(1, "pool", {step}));
    CHECK(tick<StartOrder>().size() == 2);
}

TEST_CASE_METHOD(SchedulerTest, "Scheduler_gangWithoutRoomForAll_startsNone", "[scheduler]")
{
    readAllWorkers();
    StepSpec step = makeStep(17, Millis(100));
    step.isGang = true;
    submit(makeJob(1, "pool", {step}));
    CHECK(tick<StartOrder>().empty());
    step.count = 16;
    submit(makeJob(2, "pool", {step}));
    advance(Millis(200));
    const std::vector<StartOrder> starts = tick<StartOrder>();
    REQUIRE(starts.size() == 16);
    for (const StartOrder &order : starts)
        CHECK(order.run == starts[0].run);
}

TEST_CASE_METHOD(SchedulerTest, "Scheduler_queueWithAdvice_asksOnceAndStartsOnlyWithATicket",
                 "[scheduler]")
{
    readAllWorkers();
    JobSpec job = makeJob(1, "pool", {makeStep(3, Millis(100))});
    job.queue.advice = AdviceConfig{.ticketLifetime = Millis(3000)};
    submit(job);
    std::vector<AdviceOrder> asked;
    int starts = 0;
    const auto collect = [&] {
        for (const SchedulerAction &action : scheduler.tick(now, 0)) {
            if (const auto *order = std::get_if<AdviceOrder>(&action))
                asked.push_back(*order);
            if (const auto *start = std::get_if<StartOrder>(&action)) {
                ++starts;
                CHECK(start->worker == w2);
                CHECK(start->ticket == "ticket");
            }
        }
    };
    collect();
    advance(Millis(200));
    collect();
    REQUIRE(asked.size() == 1);
    CHECK(starts == 0);
    scheduler.adviceAnswered(asked[0], true, {{w2, "ticket"}}, now);
    collect();
    CHECK(starts == 3);
}

TEST_CASE_METHOD(SchedulerTest, "Scheduler_jobNotReleased_startsOnceThatIsRecorded", "[scheduler]")
{
    readAllWorkers();
    const JobSpec job = makeJob(1, "pool", {makeStep(2, Millis(100))});
    scheduler.accept(job, {.id = job.id}, false, now);
    CHECK(tick<StartOrder>().empty());
    advance(Millis(100));
    CHECK(tick<StartOrder>().empty());
    REQUIRE(records.size() == 1);
    CHECK(records[0].updates.at(0).isReleased);
    scheduler.recordAnswered(records[0].batch, true, now);
    CHECK(tick<StartOrder>().size() == 2);
}

TEST_CASE_METHOD(SchedulerTest, "Scheduler_inheritedJobNotReleased_startsWithoutWaitingForLeases",
                 "[scheduler]")
{
    // After an owner was cut off with its zone, jobs that had only waited were held for 7 s (cal
    // trouble-1).
    Scheduler successor(SchedulerSettings{}, 1, now);
    successor.listWorkers({makeWorker("w1", "pool", 8000), makeWorker("w2", "pool", 8000)}, now);
    successor.expectWorkers(ServiceId("pool"), {w1, w2});
    const JobSpec job = makeJob(1, "pool", {makeStep(1, Millis(100))});
    successor.accept(job, {.id = job.id}, true, now);
    int starts = 0;
    for (int step = 0; step < 50; ++step) {
        for (const SchedulerAction &action : successor.tick(now, 0)) {
            starts += std::holds_alternative<StartOrder>(action) ? 1 : 0;
            if (const auto *look = std::get_if<LookOrder>(&action))
                successor.lookAnswered(*look,
                                       look->worker == w1 ? CallResult::Ok : CallResult::Unknown,
                                       {.clock = Millis(1)}, now, now);
            if (const auto *record = std::get_if<RecordOrder>(&action))
                successor.recordAnswered(record->batch, true, now);
        }
        advance(Millis(10));
    }
    CHECK(starts == 1);
}
