// Measures what the decisions of an owner cost on a large fleet: microseconds of processor time for
// each call of the Scheduler, and in total for each start. Plays in-memory workers without faults
// on a simulated clock, so that all runs with the same arguments make the same decisions, and
// prints a digest of them. Prints CSV, one row per function.
#include <oleanderhall/scheduling/scheduler.h>

#include <time.h>

#include <array>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <memory>
#include <queue>
#include <random>
#include <string>

using namespace oleanderhall;

namespace {

constexpr int kPools = 5;
constexpr int kTasksPerJob = 12;
constexpr int kFirstStepTasks = 8;
constexpr Millis kShortTask{800};
constexpr Millis kLongTask{2100};
constexpr Millis kBurstInterval{5000};
constexpr int kBurstJobs = 200;
constexpr Millis kCallTime{3};
constexpr Millis kWriteTime{10};
constexpr Millis kPlanInterval{200};
constexpr Millis kDiscoveryInterval{1000};
constexpr int kEndedJobSeconds = 150; // for which the owner keeps ended jobs

struct Arguments
{
    int workers = 1100;
    int jobsPerSecond = 160;
    int seconds = 20;
    int millisBetweenTicks = 16;
};

/// The number of calls of a function and their processor time.
class Cost
{
public:
    template <typename Work>
    decltype(auto) measure(const Work &work)
    {
        struct Guard
        {
            explicit Guard(Cost &cost)
                : m_cost(cost)
            {}
            ~Guard()
            {
                m_cost.m_microseconds += processorTime() - m_begin;
                ++m_cost.m_calls;
            }
            Cost &m_cost;
            double m_begin = processorTime();
        };
        const Guard guard(*this);
        return work();
    }
    void print(const char *name, double starts, double seconds) const
    {
        std::cout << name << ',' << m_calls << ',' << m_microseconds / std::max(1.0, m_calls) << ','
                  << m_microseconds / std::max(1.0, starts) << ',' << m_microseconds / seconds / 1e6
                  << '\n';
    }
    void add(const Cost &other)
    {
        m_microseconds += other.m_microseconds;
        m_calls += other.m_calls;
    }
    void clear() { *this = {}; }

private:
    static double processorTime()
    {
        timespec time{};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
        return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
    }

    double m_microseconds = 0;
    double m_calls = 0;
};

/// A worker that runs every task to its end.
struct Worker
{
    struct Run
    {
        TaskId task;
        std::int64_t run = 0;
        Instant begin;
        Instant end;
    };

    WorkerInfo info;
    std::vector<Run> runs;
    std::vector<EndedRun> ended;
    std::int64_t lastEnd = 0;
    std::optional<PollRequest> poll; ///< Waits for an end.
    Instant pollSent;
    std::uint64_t pollNumber = 0;
};

class Play
{
public:
    explicit Play(const Arguments &arguments)
        : m_arguments(arguments)
        , m_scheduler(SchedulerSettings{}, 1, m_now)
    {
        std::vector<QueueConfig> queues;
        queues.reserve(kPools);
        for (int pool = 0; pool < kPools; ++pool) {
            queues.push_back({.name = "queue-" + std::to_string(pool),
                              .pool = PoolId("pool-" + std::to_string(pool)),
                              .maxAttempts = 3,
                              .stretch = 2,
                              .allowance = Millis(1000)});
        }
        m_queues = queues;
        std::vector<HostInfo> hosts;
        for (int index = 0; index < arguments.workers; ++index) {
            const std::string name = "site-a-host-" + std::to_string(10000 + index);
            Worker worker{.info = {.id = WorkerId("worker." + name),
                                   .pool = queues[static_cast<std::size_t>(index % kPools)].pool,
                                   .address = name + ":7000",
                                   .capacity = {.milliCores = 4000, .memoryMb = 16000},
                                   .labels = {"rack-" + std::to_string(index / 20)},
                                   .started = {1000}}};
            hosts.push_back({.id = HostId(name),
                             .pool = worker.info.pool,
                             .state = HostInfo::State::Ready,
                             .worker = worker.info.id});
            m_infos.push_back(worker.info);
            m_workers.emplace(worker.info.id.name(), std::move(worker));
        }
        m_scheduler.setQueues({1}, queues);
        m_scheduler.setTeams({1}, {}, m_now);
        m_scheduler.setWorkers(m_infos, m_now);
        m_scheduler.updateHosts(hosts, m_now, m_now);
        addEndedJobs();
    }

    void simulate(int seconds)
    {
        const Instant end = m_now + std::chrono::seconds(seconds);
        for (; m_now < end; m_now += Millis(1)) {
            submitJobs();
            while (!m_events.empty() && m_events.top().at <= m_now) {
                const Event event = m_events.top();
                m_events.pop();
                event.handle();
                m_hasEvent = true;
            }
            plan();
            if (m_now >= m_nextTick || (m_hasEvent && m_now >= m_earliestTick))
                tick();
        }
    }
    void clearCosts()
    {
        m_measured = m_now;
        for (Cost *cost : {&m_tick, &m_nextTickCost, &m_start, &m_poll, &m_write, &m_add,
                           &m_decisions, &m_demands, &m_discovery})
            cost->clear();
        m_starts = 0;
    }
    void print(const char *phase) const
    {
        const double seconds = std::chrono::duration<double>(m_now - m_measured).count();
        std::cout << "# " << phase << "\nfunction,calls,us_per_call,us_per_start,cores\n";
        Cost total;
        const auto row = [&](const char *name, const Cost &cost) {
            cost.print(name, m_starts, seconds);
            total.add(cost);
        };
        row("tick", m_tick);
        row("nextTick", m_nextTickCost);
        row("onStartResult", m_start);
        row("onPollResult", m_poll);
        row("onProgressWritten", m_write);
        row("addJob", m_add);
        row("takeDecisions", m_decisions);
        row("poolDemands", m_demands);
        row("setWorkers", m_discovery);
        total.print("total", m_starts, seconds);
        std::cout << "# starts " << m_starts << ", jobs kept " << m_scheduler.jobs().size()
                  << ", digest " << std::hex << m_digest << std::dec << '\n';
    }

private:
    struct Event
    {
        Instant at;
        std::uint64_t number = 0;
        std::function<void()> handle;
        friend bool operator<(const Event &a, const Event &b)
        {
            return std::pair(b.at, b.number) < std::pair(a.at, a.number);
        }
    };

    void schedule(Instant at, std::function<void()> handle)
    {
        m_events.push({at, ++m_lastEvent, std::move(handle)});
    }

    /// Adds the jobs that an owner of this load remembers, which are evenly due to be removed.
    void addEndedJobs()
    {
        const int count = m_arguments.jobsPerSecond * kEndedJobSeconds;
        for (int index = 0; index < count; ++index) {
            JobSpec spec = makeJob();
            const JobProgress progress{
                .id = spec.id, .state = JobState::Completed, .isReleased = true};
            const auto age = std::chrono::seconds(kEndedJobSeconds) * (count - index) / count;
            m_scheduler.addJob(std::move(spec), progress, true, m_now - age);
        }
    }

    JobSpec makeJob()
    {
        // Callers choose the ids, so they are in no order.
        JobSpec spec{.id = {m_random()},
                     .queue = m_queues[m_random() % kPools],
                     .config = {1},
                     .payload = std::string(200, 'x'),
                     .isReleased = true};
        StepSpec step{.count = kFirstStepTasks,
                      .need = {.milliCores = 1000, .memoryMb = 1000},
                      .estimate = m_random() % 2 == 0 ? kShortTask : kLongTask};
        step.allowsSpeculation = m_random() % 4 == 0;
        spec.steps.push_back(step);
        step.count = kTasksPerJob - kFirstStepTasks;
        step.after = {0};
        spec.steps.push_back(step);
        return spec;
    }

    void submitJobs()
    {
        m_dueJobs += m_arguments.jobsPerSecond / 1000.0;
        const auto elapsed = std::chrono::duration_cast<Millis>(m_now.time_since_epoch()).count();
        if (elapsed % kBurstInterval.count() == 0)
            m_dueJobs += kBurstJobs;
        for (; m_dueJobs >= 1; --m_dueJobs) {
            JobSpec spec = makeJob();
            const JobProgress progress{.id = spec.id, .isReleased = true};
            m_add.measure([&] { m_scheduler.addJob(std::move(spec), progress, false, m_now); });
            m_hasEvent = true;
        }
    }

    void plan()
    {
        if (m_now >= m_nextPlan) {
            m_nextPlan = m_now + kPlanInterval;
            m_demands.measure([&] { return m_scheduler.poolDemands(m_now); });
        }
        if (m_now >= m_nextDiscovery) {
            m_nextDiscovery = m_now + kDiscoveryInterval;
            m_discovery.measure([&] { m_scheduler.setWorkers(m_infos, m_now); });
        }
    }

    void tick()
    {
        m_hasEvent = false;
        const auto actions = m_tick.measure([&] { return m_scheduler.tick(m_now, 0); });
        for (const SchedulerAction &action : actions)
            std::visit([this](const auto &command) { execute(command); }, action);
        for (const Decision &decision :
             m_decisions.measure([&] { return m_scheduler.takeDecisions(); })) {
            digest(decision.event);
            for (const auto &[key, value] : decision.fields)
                digest(value);
        }
        m_nextTick = m_nextTickCost.measure([&] { return m_scheduler.nextTick(m_now); });
        m_earliestTick = m_now + Millis(m_arguments.millisBetweenTicks);
        m_nextTick = std::max(m_nextTick, m_earliestTick);
        digest(m_nextTick.time_since_epoch().count());
    }

    Millis clock() const { return std::chrono::duration_cast<Millis>(m_now.time_since_epoch()); }

    void execute(const StartCommand &command)
    {
        digest(command.worker.name());
        digest(command.task);
        digest(command.run);
        digest(command.leaseExpiry.count());
        ++m_starts;
        schedule(m_now + kCallTime, [this, command] {
            Worker &worker = m_workers.at(command.worker.name());
            const Millis length = command.task.job.value % 2 == 0 ? kShortTask : kLongTask;
            // One worker in 100 is slow, so that some tasks get copies.
            const int factor = command.worker.name().ends_with("07") ? 3 : 1;
            const Instant end = m_now + length * factor + Millis(m_random() % 200);
            worker.runs.push_back({command.task, command.run, m_now, end});
            schedule(end, [this, &worker, task = command.task, run = command.run] {
                endRun(worker, task, run, RunOutcome::Done);
            });
            m_start.measure([&] { m_scheduler.onStartResult(command, CallResult::Ok, m_now); });
        });
    }
    void execute(const StopCommand &command)
    {
        digest(command.worker.name());
        digest(command.task);
        schedule(m_now + kCallTime, [this, command] {
            endRun(m_workers.at(command.worker.name()), command.task, command.run,
                   RunOutcome::Stopped);
            m_scheduler.onStopResult(command, CallResult::Ok, m_now);
        });
    }
    void execute(const PollRequest &request)
    {
        digest(request.worker.name());
        digest(request.acknowledgedEnd);
        digest(request.leaseExpiry.count());
        digest(request.maxWait.count());
        schedule(m_now + kCallTime / 2, [this, request, sent = m_now] {
            Worker &worker = m_workers.at(request.worker.name());
            std::erase_if(worker.ended, [&](const EndedRun &ended) {
                return ended.sequence <= request.acknowledgedEnd;
            });
            worker.poll = request;
            worker.pollSent = sent;
            const std::uint64_t number = ++worker.pollNumber;
            if (!worker.ended.empty() || request.maxWait.count() == 0)
                answerPoll(worker);
            else
                schedule(m_now + request.maxWait, [this, &worker, number] {
                    if (worker.poll && worker.pollNumber == number)
                        answerPoll(worker);
                });
        });
    }
    void execute(const ProgressWrite &write)
    {
        for (const JobProgress &update : write.updates) {
            digest(update.id.value);
            digest(encodeProgress(update));
        }
        for (const JobId id : write.droppedJobs)
            digest(id.value);
        schedule(m_now + kWriteTime, [this, batch = write.batch] {
            m_write.measure([&] { m_scheduler.onProgressWritten(batch, true, m_now); });
        });
    }
    void execute(const CpuLimitCommand &) {}
    void execute(const AdviceRequest &) {}

    void endRun(Worker &worker, const TaskId &task, std::int64_t run, RunOutcome outcome)
    {
        const auto removed = std::erase_if(worker.runs, [&](const Worker::Run &active) {
            return active.task == task && active.run == run;
        });
        if (removed == 0)
            return;
        worker.ended.push_back(
            {.sequence = ++worker.lastEnd, .task = task, .run = run, .runOutcome = outcome});
        if (worker.poll)
            answerPoll(worker);
    }

    void answerPoll(Worker &worker)
    {
        WorkerStatus status{
            .clock = clock(), .started = worker.info.started, .ended = worker.ended};
        for (const Worker::Run &run : worker.runs) {
            const auto percent = 99 * (m_now - run.begin)
                / std::max(run.end - run.begin, Instant::duration(1));
            status.running.push_back(
                {.task = run.task, .run = run.run, .progressPercent = static_cast<int>(percent)});
        }
        schedule(
            m_now + kCallTime / 2,
            [this, request = *worker.poll, status = std::move(status), sent = worker.pollSent] {
                m_poll.measure([&] {
                    m_scheduler.onPollResult(request, CallResult::Ok, status, sent, m_now);
                });
            });
        worker.poll.reset();
    }

    template <typename Value>
    void digest(const Value &value)
    {
        m_digest = m_digest * 1099511628211ULL ^ std::hash<Value>()(value);
    }
    void digest(const char *text) { digest(std::string(text)); }
    void digest(const TaskId &task) { digest(textOf(task)); }

    Arguments m_arguments;
    std::mt19937_64 m_random{1};
    Instant m_now{std::chrono::hours(1)};
    Scheduler m_scheduler;
    std::vector<QueueConfig> m_queues;
    std::vector<WorkerInfo> m_infos;
    std::map<std::string, Worker> m_workers;
    std::priority_queue<Event> m_events;
    std::uint64_t m_lastEvent = 0;
    bool m_hasEvent = false;
    double m_dueJobs = 0;
    Instant m_nextTick;
    Instant m_earliestTick;
    Instant m_nextPlan;
    Instant m_nextDiscovery;
    Instant m_measured = m_now; ///< When the measured phase began.
    double m_starts = 0;
    std::uint64_t m_digest = 0;
    Cost m_tick;
    Cost m_nextTickCost;
    Cost m_start;
    Cost m_poll;
    Cost m_write;
    Cost m_add;
    Cost m_decisions;
    Cost m_demands;
    Cost m_discovery;
};

} // namespace

int main(int argc, char **argv)
{
    Arguments arguments;
    const std::array<int *, 4> values{&arguments.workers, &arguments.jobsPerSecond,
                                      &arguments.seconds, &arguments.millisBetweenTicks};
    for (int index = 1; index < argc && index <= static_cast<int>(values.size()); ++index)
        *values[static_cast<std::size_t>(index - 1)] = std::atoi(argv[index]);
    Play play(arguments);
    constexpr int kFirstSeconds = 5; // until runs have begun to end and the take-over is complete
    play.simulate(kFirstSeconds);
    play.print("after the take-over");
    play.clearCosts();
    play.simulate(arguments.seconds);
    play.print("steady load");
    return 0;
}
