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

CallResult FakeWorker::start(const StartCommand &command, std::int64_t token, Instant now,
                             Instant endTime, RunOutcome outcome)
{
    if (isFenced(token))
        return CallResult::Fenced;
    if (command.leaseExpiry < clock(now))
        return CallResult::TooLate;
    for (const FakeRun &run : running) {
        if (run.task == command.task && run.run == command.run)
            return CallResult::Ok;
    }
    if (const auto closed = m_closedRuns.find(command.task);
        closed != m_closedRuns.end() && command.run <= closed->second)
        return CallResult::RunTooOld;
    running.push_back({.task = command.task,
                       .run = command.run,
                       .started = now,
                       .endTime = endTime,
                       .outcome = outcome,
                       .checkpoint = command.checkpoint});
    extendLease(command.leaseExpiry, now);
    return CallResult::Ok;
}

CallResult FakeWorker::stop(const StopCommand &command, std::int64_t token, Instant)
{
    if (isFenced(token))
        return CallResult::Fenced;
    for (std::size_t index = 0; index < running.size(); ++index) {
        if (running[index].task == command.task && running[index].run == command.run) {
            end(index, RunOutcome::Stopped);
            return CallResult::Ok;
        }
    }
    std::int64_t &closed = m_closedRuns[command.task];
    closed = std::max(closed, command.run);
    return CallResult::Ok;
}

CallResult FakeWorker::poll(const PollRequest &request, std::int64_t token, Instant now,
                            WorkerStatus &status)
{
    if (isFenced(token))
        return CallResult::Fenced;
    extendLease(request.leaseExpiry, now);
    std::erase_if(ended,
                  [&](const EndedRun &entry) { return entry.sequence <= request.acknowledgedEnd; });
    status.clock = clock(now);
    status.started = info.started;
    status.ended = ended;
    constexpr int kMaxProgressPercent = 99;
    for (const FakeRun &run : running) {
        const auto duration = std::max<Instant::rep>(1, (run.endTime - run.started).count());
        const auto percent = static_cast<int>(kMaxProgressPercent * (now - run.started).count()
                                              / duration);
        status.running.push_back({.task = run.task,
                                  .run = run.run,
                                  .checkpoint = run.checkpoint,
                                  .progressPercent = std::clamp(percent, 0, kMaxProgressPercent)});
    }
    return CallResult::Ok;
}

void FakeWorker::extendLease(Millis expiry, Instant now)
{
    m_leaseExpiry = std::max(m_leaseExpiry, std::min(expiry, clock(now) + kMaxLease));
}

void FakeWorker::restart(Instant now)
{
    WorkerInfo entry = info;
    entry.started = entry.started.next();
    *this = FakeWorker(std::move(entry),
                       -std::chrono::duration_cast<Millis>(now.time_since_epoch()));
}

void FakeWorker::end(std::size_t index, RunOutcome outcome)
{
    const FakeRun run = running[index];
    running.erase(running.begin() + static_cast<std::ptrdiff_t>(index));
    std::int64_t &closed = m_closedRuns[run.task];
    closed = std::max(closed, run.run);
    ended.push_back(
        {.sequence = ++m_lastEnd, .task = run.task, .run = run.run, .runOutcome = outcome});
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
    job.queue.pool = PoolId(pool);
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
            .pool = PoolId(pool),
            .address = "10.0.0.1:80",
            .zone = ZoneId("z"),
            .capacity = {.milliCores = milliCores, .memoryMb = 100000}};
}

} // namespace oleanderhall::test
