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
        scheduler.setWorkers({makeWorker("w1", "pool", 8000), makeWorker("w2", "pool", 8000)}, now);
        scheduler.setExpectedWorkers(ServiceId("pool"), {w1, w2});
    }

    void advance(Millis time) { now += time; }

    template <typename Order>
    std::vector<Order> tick(bool mayOrder = true)
    {
        std::vector<Order> result;
        for (const SchedulerAction &action : scheduler.tick(now, 0, mayOrder)) {
            if (const auto *order = std::get_if<Order>(&action))
                result.push_back(*order);
            if (const auto *record = std::get_if<ProgressWrite>(&action))
                writes.push_back(*record);
            if (const auto *look = std::get_if<PollRequest>(&action))
                polls.push_back(*look);
        }
        return result;
    }

    /// Answers a look at `worker` with `running` and `ended`.
    void answerPoll(const PollRequest &order, std::vector<ActiveRun> running = {},
                    std::vector<EndedRun> ended = {}, CallResult result = CallResult::Ok)
    {
        const WorkerStatus look{.clock = std::chrono::duration_cast<Millis>(now.time_since_epoch()),
                                .running = std::move(running),
                                .ended = std::move(ended)};
        scheduler.onPollResult(order, result, look, now, now);
    }

    void syncAllWorkers()
    {
        for (const PollRequest &order : tick<PollRequest>())
            answerPoll(order);
    }

    void submit(JobSpec job)
    {
        const JobId id = job.id;
        scheduler.addJob(std::move(job), {.id = id, .isReleased = true}, false, now);
    }

    void confirm(const std::vector<StartCommand> &orders)
    {
        for (const StartCommand &order : orders)
            scheduler.onStartResult(order, CallResult::Ok, now);
    }

    PollRequest nextPoll(WorkerId worker)
    {
        for (int step = 0; step < 400; ++step) {
            for (const PollRequest &order : tick<PollRequest>()) {
                if (order.worker == worker)
                    return order;
                answerPoll(order);
            }
            for (const ProgressWrite &order : std::exchange(writes, {}))
                scheduler.onProgressWritten(order.batch, true, now);
            advance(Millis(10));
        }
        FAIL("the worker was not looked at for 4 s");
        return {};
    }

    static JobSpec longRunningJob(std::uint64_t id, int count, int mayMiss)
    {
        StepSpec step = makeStep(count, Millis(100));
        step.isLongRunning = true;
        step.mayMiss = mayMiss;
        return makeJob(id, "pool", {step});
    }

    static ActiveRun readyRun(const StartCommand &order)
    {
        return {.task = order.task, .run = order.run, .progressPercent = 100};
    }

    const WorkerId w1{"w1"};
    const WorkerId w2{"w2"};
    Instant now{std::chrono::hours(1)};
    std::vector<ProgressWrite> writes;
    std::vector<PollRequest> polls;
    Scheduler scheduler{SchedulerSettings{}, 0, now - std::chrono::minutes(1)};
};

} // namespace oleanderhall::test
