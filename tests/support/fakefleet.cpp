#include "fakefleet.h"

#include <algorithm>

namespace oleanderhall::test {

bool FakeWorker::isFenced(std::int64_t token)
{
    if (token < m_token)
        return true;
    m_token = token;
    return false;
}

CallResult FakeWorker::start(const StartCommand &order, std::int64_t token, Instant now,
                             Instant ends, RunOutcome outcome)
{
    if (isFenced(token))
        return CallResult::Fenced;
    if (order.leaseExpiry < clock(now))
        return CallResult::TooLate;
    for (const FakeRun &run : running) {
        if (run.task == order.task && run.run == order.run)
            return CallResult::Ok;
    }
    if (const auto closed = m_closedRuns.find(order.task);
        closed != m_closedRuns.end() && order.run <= closed->second)
        return CallResult::RunTooOld;
    running.push_back({.task = order.task,
                       .run = order.run,
                       .started = now,
                       .endTime = ends,
                       .outcome = outcome,
                       .checkpoint = order.checkpoint});
    m_leaseExpiry = std::max(m_leaseExpiry, order.leaseExpiry);
    return CallResult::Ok;
}

CallResult FakeWorker::stop(const StopCommand &order, std::int64_t token, Instant)
{
    if (isFenced(token))
        return CallResult::Fenced;
    for (std::size_t index = 0; index < running.size(); ++index) {
        if (running[index].task == order.task && running[index].run == order.run) {
            end(index, RunOutcome::Stopped);
            return CallResult::Ok;
        }
    }
    std::int64_t &closed = m_closedRuns[order.task];
    closed = std::max(closed, order.run);
    return CallResult::Ok;
}

CallResult FakeWorker::poll(const PollRequest &order, std::int64_t token, Instant now,
                            WorkerStatus &look)
{
    if (isFenced(token))
        return CallResult::Fenced;
    m_leaseExpiry = std::max(m_leaseExpiry, order.leaseExpiry);
    std::erase_if(ended,
                  [&](const EndedRun &entry) { return entry.sequence <= order.acknowledgedEnd; });
    look.clock = clock(now);
    look.ended = ended;
    constexpr int kAlmost = 99;
    for (const FakeRun &run : running) {
        const auto whole = std::max<Instant::rep>(1, (run.endTime - run.started).count());
        const auto percent = static_cast<int>(kAlmost * (now - run.started).count() / whole);
        look.running.push_back({.task = run.task,
                                .run = run.run,
                                .checkpoint = run.checkpoint,
                                .progressPercent = std::clamp(percent, 0, kAlmost)});
    }
    return CallResult::Ok;
}

void FakeWorker::end(std::size_t index, RunOutcome how)
{
    const FakeRun run = running[index];
    running.erase(running.begin() + static_cast<std::ptrdiff_t>(index));
    std::int64_t &closed = m_closedRuns[run.task];
    closed = std::max(closed, run.run);
    ended.push_back({.sequence = ++m_lastEnd, .task = run.task, .run = run.run, .runOutcome = how});
}

void FakeWorker::step(Instant now)
{
    for (std::size_t index = 0; index < running.size();) {
        if (running[index].endTime <= now)
            end(index, running[index].outcome);
        else
            ++index;
    }
    while (!running.empty() && clock(now) > m_leaseExpiry)
        end(0, RunOutcome::LeaseExpired);
}

Resources FakeWorker::used() const
{
    Resources sum;
    for (const FakeRun &run : running) {
        if (const auto need = needs.find(run.task); need != needs.end())
            sum += need->second;
    }
    return sum;
}

std::int64_t FakeWorker::runOf(const TaskId &task) const
{
    for (const FakeRun &run : running) {
        if (run.task == task)
            return run.run;
    }
    return 0;
}

JobSpec makeJob(std::uint64_t id, const std::string &pool, std::vector<StepSpec> steps)
{
    JobSpec job{.id = {id}};
    job.queue.name = "queue-" + pool;
    job.queue.service = ServiceId(pool);
    job.queue.maxAttempts = 3;
    job.queue.stretch = 1.6;
    job.queue.allowance = Millis(600);
    job.steps = std::move(steps);
    return job;
}

StepSpec makeStep(int count, Millis estimate, std::vector<int> after)
{
    StepSpec step;
    step.count = count;
    step.need = {.milliCores = 1000, .memoryMb = 100};
    step.estimate = estimate;
    step.after = std::move(after);
    return step;
}

WorkerInfo makeWorker(const std::string &id, const std::string &pool, std::int64_t milliCores)
{
    return {.id = WorkerId(id),
            .pool = ServiceId(pool),
            .address = "10.0.0.1:80",
            .zone = ZoneId("z"),
            .capacity = {.milliCores = milliCores, .memoryMb = 100000}};
}

} // namespace oleanderhall::test
