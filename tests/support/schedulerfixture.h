#pragma once

#include "fakefleet.h"

#include <catch2/catch.hpp>

#include <utility>
#include <vector>

namespace oleanderhall::test {

/// A fixture with two workers of 8 cores in one pool and a Scheduler whose term began one minute
/// ago.
class SchedulerTest
{
protected:
    SchedulerTest()
    {
        scheduler.setWorkers({makeWorker("w1", "pool", 8000), makeWorker("w2", "pool", 8000)}, now);
        scheduler.updateHosts({makeHost("h1", w1), makeHost("h2", w2)}, now, now);
    }

    static HostInfo makeHost(const char *id, WorkerId worker)
    {
        return {.id = HostId(id),
                .pool = PoolId("pool"),
                .state = worker.empty() ? HostInfo::State::Down : HostInfo::State::Ready,
                .worker = worker};
    }

    void advance(Millis time) { now += time; }

    /// Calls tick(), appends its writes and polls to `writes` and `polls`, and returns its actions
    /// of type `Action`.
    template <typename Action>
    std::vector<Action> tick(bool maySendCommands = true)
    {
        std::vector<Action> result;
        for (const SchedulerAction &action : scheduler.tick(now, 0, maySendCommands)) {
            if (const auto *wanted = std::get_if<Action>(&action))
                result.push_back(*wanted);
            if (const auto *write = std::get_if<ProgressWrite>(&action))
                writes.push_back(*write);
            if (const auto *poll = std::get_if<PollRequest>(&action))
                polls.push_back(*poll);
        }
        return result;
    }

    /// Answers a poll with `running` and `ended`.
    void answerPoll(const PollRequest &request, std::vector<ActiveRun> running = {},
                    std::vector<EndedRun> ended = {}, CallResult result = CallResult::Ok)
    {
        const WorkerStatus status{
            .clock = std::chrono::duration_cast<Millis>(now.time_since_epoch()),
            .started = request.started,
            .running = std::move(running),
            .ended = std::move(ended)};
        scheduler.onPollResult(request, result, status, now, now);
    }

    void syncAllWorkers()
    {
        for (const PollRequest &request : tick<PollRequest>())
            answerPoll(request);
        advance(SchedulerSettings{}.stopTimeout); // until no stop of an earlier owner is under way
    }

    void submit(JobSpec job)
    {
        const JobId id = job.id;
        scheduler.addJob(std::move(job), {.id = id, .isReleased = true}, false, now);
    }

    void confirm(const std::vector<StartCommand> &starts)
    {
        for (const StartCommand &start : starts)
            scheduler.onStartResult(start, CallResult::Ok, now);
    }

    /// Advances time until the next poll of `worker` and returns it. Answers other polls and
    /// confirms writes.
    PollRequest nextPoll(WorkerId worker)
    {
        for (int step = 0; step < 400; ++step) {
            for (const PollRequest &request : tick<PollRequest>()) {
                if (request.worker == worker)
                    return request;
                answerPoll(request);
            }
            for (const ProgressWrite &pending : std::exchange(writes, {}))
                scheduler.onProgressWritten(pending.batch, true, now);
            advance(Millis(10));
        }
        FAIL("the worker was not polled for 4 s");
        return {};
    }

    /// Starts a step of two long-running tasks, one on each worker, that may miss one of them, and
    /// reports both as ready.
    std::vector<StartCommand> startOnBothWorkers()
    {
        JobSpec job = longRunningJob(1, 2, 1);
        job.steps.front().maxPerWorker = 1;
        submit(std::move(job));
        std::vector<StartCommand> starts = tick<StartCommand>();
        REQUIRE(starts.size() == 2);
        confirm(starts);
        reportReady(starts);
        return starts;
    }

    /// Answers a poll of each worker, sent just now, with its run of `starts`, which is ready.
    void reportReady(const std::vector<StartCommand> &starts)
    {
        for (const StartCommand &start : starts)
            answerPoll({.worker = start.worker}, {readyRun(start)});
    }

    static JobSpec longRunningJob(std::uint64_t id, int count, int maxDisrupted)
    {
        StepSpec step = makeStep(count, Millis(100));
        step.isLongRunning = true;
        step.maxDisrupted = maxDisrupted;
        return makeJob(id, "pool", {step});
    }

    static ActiveRun readyRun(const StartCommand &start)
    {
        return {.task = start.task, .run = start.run, .progressPercent = 100};
    }

    const WorkerId w1{"w1"};
    const WorkerId w2{"w2"};
    Instant now{std::chrono::hours(1)};
    std::vector<ProgressWrite> writes;
    std::vector<PollRequest> polls;
    Scheduler scheduler{SchedulerSettings{}, 0, now - std::chrono::minutes(1)};
};

} // namespace oleanderhall::test
