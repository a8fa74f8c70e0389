// Workers that stop answering: their tasks start elsewhere as soon as it is certain that the runs
// have ended, and not before.
#include "../support/schedulerfixture.h"

using namespace oleanderhall;
using namespace oleanderhall::test;

namespace {

/// What doesn't arrive while a worker is silent.
enum class Lost { Requests, Answers };

/// A task runs on w1, a FakeWorker with the platform's leases, which is silent for a while.
class SchedulerSilenceTest : public SchedulerTest
{
protected:
    static constexpr Millis kStep{10};
    static constexpr Millis kRunTime{15000};

    SchedulerSilenceTest()
    {
        list(kFirst);
        syncAllWorkers();
        scheduler.cordon({w2});
        submit(makeJob(1, "pool", {makeStep(1, kRunTime)}));
        const std::vector<StartCommand> starts = tick<StartCommand>();
        REQUIRE(starts.size() == 1);
        start = starts[0];
        REQUIRE(worker.start(start, 1, now, now + kRunTime, RunOutcome::Done) == CallResult::Ok);
        confirm(starts);
        scheduler.cordon({});
        polls.clear();
    }

    void list(WorkerStartTime started)
    {
        WorkerInfo info = makeWorker("w1", "pool", 8000);
        info.started = started;
        scheduler.setWorkers({info, makeWorker("w2", "pool", 8000)}, now);
    }

    /// Lets `time` pass with an answer of w1 to each poll after `latency`, if that is in time.
    /// Without a latency the requests or answers are lost.
    void run(Millis time, std::optional<Millis> latency, Lost lost = Lost::Requests)
    {
        for (const Instant end = now + time; now < end; advance(kStep)) {
            worker.step(now);
            for (const StartCommand &started : tick<StartCommand>())
                startsAgain += started.task == start.task ? 1 : 0;
            for (const ProgressWrite &pending : std::exchange(writes, {}))
                scheduler.onProgressWritten(pending.batch, true, now);
            for (const PollRequest &request : std::exchange(polls, {})) {
                if (request.worker == w1)
                    m_inFlight = InFlight{request, now};
                else
                    answerPoll(request);
            }
            if (m_inFlight)
                deliver(latency, lost);
        }
    }

    /// Ends the poll in flight if it is due.
    void deliver(std::optional<Millis> latency, Lost lost)
    {
        const PollRequest request = m_inFlight->request;
        const Instant::duration elapsed = now - m_inFlight->sent;
        if (!m_inFlight->isReceived && (latency || lost == Lost::Answers)) {
            m_inFlight->isReceived = true;
            worker.poll(request, 1, now, m_inFlight->status);
        }
        const bool isInTime = elapsed < request.maxWait + request.answerTime;
        const bool isAnswered = latency && elapsed >= request.maxWait + *latency;
        if (isInTime && !isAnswered)
            return;
        WorkerStatus status;
        const CallResult result = isInTime ? worker.poll(request, 1, now, status)
                                           : CallResult::Unknown;
        status.started = kFirst;
        scheduler.onPollResult(request, result, status, m_inFlight->sent, now);
        m_inFlight.reset();
    }

    bool isRunning() const { return worker.runOf(start.task) == start.run; }

    static constexpr WorkerStartTime kFirst{1000};
    static constexpr WorkerStartTime kSecond{2000};
    FakeWorker worker{makeWorker("w1", "pool", 8000), Millis(0)};
    StartCommand start;
    int startsAgain = 0;

private:
    struct InFlight
    {
        PollRequest request;
        Instant sent;
        bool isReceived = false;
        WorkerStatus status;
    };
    std::optional<InFlight> m_inFlight;
};

} // namespace

TEST_CASE_METHOD(SchedulerSilenceTest, "Scheduler_answersLostForSeconds_workGoesOn", "[scheduler]")
{
    // Guards against work that is started again or given up because its worker was only silent.
    const Millis silence = GENERATE(Millis(1000), Millis(2000), Millis(3000), Millis(4000),
                                    Millis(5000), Millis(6000));
    const Millis before = GENERATE(Millis(300), Millis(1100), Millis(1700));
    run(before, Millis(2));
    run(silence, std::nullopt, Lost::Answers);
    run(Millis(2000), Millis(2));
    CHECK(isRunning());
    run(kRunTime, Millis(2));
    CHECK(startsAgain == 0);
    CHECK(scheduler.jobs().at({1}).state == JobState::Completed);
}

TEST_CASE_METHOD(SchedulerSilenceTest, "Scheduler_cutOffForSeconds_workGoesOnOrEndsByItsLease",
                 "[scheduler]")
{
    // Requests are lost, too, so no lease can be extended. It is at least 3 s until the lease ends.
    const Millis silence = GENERATE(Millis(1000), Millis(2000), Millis(3000), Millis(4000),
                                    Millis(5000), Millis(6000));
    const Millis before = GENERATE(Millis(300), Millis(1100), Millis(1700));
    run(before, Millis(2));
    run(silence, std::nullopt, Lost::Requests);
    const bool hadEnded = !isRunning();
    CHECK((startsAgain == 0 || hadEnded));
    CHECK((!hadEnded || silence > Millis(3000)));
    run(Millis(2000), Millis(2));
    CHECK(startsAgain == (hadEnded ? 1 : 0));
    CHECK(isRunning() == !hadEnded);
}

TEST_CASE_METHOD(SchedulerSilenceTest, "Scheduler_workerAnswersLate_workGoesOn", "[scheduler]")
{
    // Guards against the loss of the work of a worker whose answers always come too late: every
    // poll timed out after half a second, and its lease expired.
    const Millis latency = GENERATE(Millis(400), Millis(1000), Millis(2000));
    run(Millis(300), Millis(2));
    run(kRunTime + Millis(15000), latency);
    CHECK(startsAgain == 0);
    CHECK(scheduler.jobs().at({1}).state == JobState::Completed);
}

TEST_CASE_METHOD(SchedulerSilenceTest,
                 "Scheduler_connectionsRefused_taskStartsOnlyOnceARestartShows", "[scheduler]")
{
    // A cut link refuses connections, too, while the runs go on behind it.
    answerPoll({.worker = w1, .started = kFirst}, {{.task = start.task, .run = start.run}});
    for (int step = 0; step < 200; ++step, advance(kStep)) {
        for (const StartCommand &started : tick<StartCommand>())
            startsAgain += started.task == start.task ? 1 : 0;
        for (const PollRequest &request : std::exchange(polls, {}))
            answerPoll(request, {}, {},
                       request.worker == w1 ? CallResult::NotSent : CallResult::Ok);
    }
    CHECK(startsAgain == 0);
    list(kSecond);
    CHECK(tick<StartCommand>().size() == 1);
}

TEST_CASE_METHOD(SchedulerSilenceTest, "Scheduler_otherWorkerAnswers_taskStartsElsewhereAtOnce",
                 "[scheduler]")
{
    answerPoll({.worker = w1, .started = kFirst}, {}, {}, CallResult::OtherIncarnation);
    const std::vector<StartCommand> starts = tick<StartCommand>();
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].worker == w2);
}
