#pragma once

#include "fakefleet.h"

#include <catch2/catch.hpp>

#include <utility>
#include <vector>

namespace oleanderhall::test {

/// Two workers of 8 cores in one pool, and a Scheduler whose term began a minute ago.
class SchedulerTest
{
protected:
    SchedulerTest()
    {
        scheduler.listWorkers({makeWorker("w1", "pool", 8000), makeWorker("w2", "pool", 8000)},
                              now);
        scheduler.expectWorkers(ServiceId("pool"), {w1, w2});
    }

    void advance(Millis time) { now += time; }

    template <typename Order>
    std::vector<Order> tick(bool mayOrder = true)
    {
        std::vector<Order> result;
        for (const SchedulerAction &action : scheduler.tick(now, 0, mayOrder)) {
            if (const auto *order = std::get_if<Order>(&action))
                result.push_back(*order);
            if (const auto *record = std::get_if<RecordOrder>(&action))
                records.push_back(*record);
            if (const auto *look = std::get_if<LookOrder>(&action))
                looks.push_back(*look);
        }
        return result;
    }

    /// Answers a look at `worker` with `running` and `ended`.
    void answerLook(const LookOrder &order, std::vector<RunningTask> running = {},
                    std::vector<EndedTask> ended = {}, CallResult result = CallResult::Ok)
    {
        const WorkerLook look{.clock = std::chrono::duration_cast<Millis>(now.time_since_epoch()),
                              .running = std::move(running),
                              .ended = std::move(ended)};
        scheduler.lookAnswered(order, result, look, now, now);
    }

    void readAllWorkers()
    {
        for (const LookOrder &order : tick<LookOrder>())
            answerLook(order);
    }

    void submit(JobSpec job)
    {
        const JobId id = job.id;
        scheduler.accept(std::move(job), {.id = id, .isReleased = true}, false, now);
    }

    void confirm(const std::vector<StartOrder> &orders)
    {
        for (const StartOrder &order : orders)
            scheduler.startAnswered(order, CallResult::Ok, now);
    }

    LookOrder nextLook(WorkerId worker)
    {
        for (int step = 0; step < 400; ++step) {
            for (const LookOrder &order : tick<LookOrder>()) {
                if (order.worker == worker)
                    return order;
                answerLook(order);
            }
            for (const RecordOrder &order : std::exchange(records, {}))
                scheduler.recordAnswered(order.batch, true, now);
            advance(Millis(10));
        }
        FAIL("the worker was not looked at for 4 s");
        return {};
    }

    static JobSpec longJob(std::uint64_t id, int count, int mayMiss)
    {
        StepSpec step = makeStep(count, Millis(100));
        step.isLongRunning = true;
        step.maxDisrupted = mayMiss;
        return makeJob(id, "pool", {step});
    }

    static RunningTask atWork(const StartOrder &order)
    {
        return {.task = order.task, .run = order.run, .percent = 100};
    }

    const WorkerId w1{"w1"};
    const WorkerId w2{"w2"};
    Instant now{std::chrono::hours(1)};
    std::vector<RecordOrder> records;
    std::vector<LookOrder> looks;
    Scheduler scheduler{SchedulerSettings{}, 0, now - std::chrono::minutes(1)};
};

} // namespace oleanderhall::test
