#include "callers.h"

#include "../platform/standin/standinrows.h"
#include "../src/http/oneshot.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

namespace oleanderhall::soak {

namespace asio = boost::asio;

namespace {

constexpr Millis kCallTimeout{3000}; // typical time limit of a caller
constexpr Millis kPollInterval{400};
constexpr Millis kRetryDelay{300};
constexpr int kMaxSubmitAttempts = 6;
constexpr std::size_t kConnectionsPerNode = 16;
constexpr int kOk = 200;
constexpr int kGone = 410;
constexpr int kGatewayError = 502;
constexpr int kOutcomeUnknown = 504;

/// Counts a coroutine while it runs.
class CountGuard
{
public:
    explicit CountGuard(int &count)
        : m_count(count)
    {
        ++m_count;
    }
    CountGuard(const CountGuard &) = delete;
    CountGuard &operator=(const CountGuard &) = delete;
    ~CountGuard() { --m_count; }

private:
    int &m_count;
};

} // namespace

Callers::Callers(asio::io_context &io, Deployment &deployment, InvariantChecker &checker,
                 std::uint32_t seed)
    : m_io(io)
    , m_deployment(deployment)
    , m_checker(checker)
    , m_random(seed)
{
    for (const Deployment::Node &node : deployment.nodes())
        m_clients[node.callerAddress] = std::make_shared<HttpClient>(io, node.callerAddress,
                                                                     kConnectionsPerNode);
}

void Callers::start(double perSecond, Millis duration)
{
    asio::co_spawn(m_io, generateJobs(perSecond, duration), asio::detached);
}

void Callers::startLongRunningJobs(Millis duration)
{
    constexpr int kTasks = 5;
    m_longRunningTime = duration;
    for (const QueueConfig &queue : m_deployment.config().queues) {
        for (const int maxDisrupted : {1, 1, 2}) {
            StepSpec step{.count = kTasks};
            step.need = {.milliCores = 500, .memoryMb = 64};
            step.isLongRunning = true;
            step.maxDisrupted = maxDisrupted;
            JobSpec job{.id = {(std::uint64_t{m_random()} << 32) | m_random()}, .queue = queue};
            job.payload = "ms=0 fail=0";
            job.steps.push_back(step);
            asio::co_spawn(m_io, runCaller(std::move(job)), asio::detached);
        }
    }
}

void Callers::startCrashingJobs(int count, Millis duration)
{
    const auto &queues = m_deployment.config().queues;
    for (int number = 0; number < count; ++number) {
        JobSpec job{.id = {(std::uint64_t{m_random()} << 32) | m_random()},
                    .queue = queues[m_random() % queues.size()]};
        job.payload = "ms=100 fail=0 crash=1";
        StepSpec step;
        step.need = {.milliCores = 1000, .memoryMb = 64};
        job.steps.push_back(step);
        m_checker.expectCrashes(job.id);
        asio::co_spawn(m_io, runCaller(std::move(job), duration * number / count), asio::detached);
    }
}

asio::awaitable<void> Callers::wait(Millis duration)
{
    asio::steady_timer timer(m_io, duration);
    co_await timer.async_wait(asio::use_awaitable);
}

asio::awaitable<void> Callers::generateJobs(double perSecond, Millis duration)
{
    const CountGuard guard(m_active);
    constexpr double kMillisPerSecond = 1000;
    const Instant end = std::chrono::steady_clock::now() + duration;
    std::exponential_distribution<double> gap(perSecond / kMillisPerSecond);
    while (std::chrono::steady_clock::now() < end) {
        co_await wait(Millis(static_cast<int>(gap(m_random)) + 1));
        asio::co_spawn(m_io, runCaller(makeJob()), asio::detached);
    }
}

JobSpec Callers::makeJob()
{
    const auto &queues = m_deployment.config().queues;
    JobSpec job{.id = {(std::uint64_t{m_random()} << 32) | m_random()},
                .queue = queues[m_random() % queues.size()]};
    const auto length = static_cast<int>(50 + m_random() % 900);
    const bool fails = m_random() % 25 == 0;
    job.payload = "ms=" + std::to_string(length) + " fail=" + (fails ? "1" : "0");
    const auto steps = static_cast<int>(1 + m_random() % 3);
    for (int step = 0; step < steps; ++step) {
        StepSpec spec{.count = static_cast<int>(1 + m_random() % 4)};
        spec.need = {.milliCores = static_cast<std::int64_t>(500 + m_random() % 2000),
                     .memoryMb = 64};
        spec.estimate = Millis(length);
        if (step > 0)
            spec.after = {step - 1};
        job.steps.push_back(spec);
    }
    return job;
}

asio::awaitable<HttpResult> Callers::call(const std::string &method, const JobSpec &job,
                                          std::string body)
{
    const auto &nodes = m_deployment.nodes();
    const std::string &node = nodes[m_random() % nodes.size()].callerAddress;
    auto result = std::make_shared<OneShot<HttpResult>>(m_io.get_executor());
    m_clients.at(node)->send(
        {.method = method,
         .target = job.queue.prefix + textOf(job.id),
         .headers = {{"Host", job.queue.host}, {"Content-Type", "application/json"}},
         .body = std::move(body),
         .timeout = kCallTimeout},
        [result](HttpResult response) { result->set(std::move(response)); });
    auto response = co_await result->wait(std::chrono::steady_clock::now() + 2 * kCallTimeout);
    co_return response ? std::move(*response) : HttpResult{};
}

/// Submits the job until it is accepted or the attempts are used up. Returns whether it was
/// accepted.
asio::awaitable<bool> Callers::submit(const JobSpec &job)
{
    m_checker.onSubmitted(job);
    bool mayBeStored = false;
    for (int attempts = 0; attempts < kMaxSubmitAttempts; ++attempts) {
        const HttpResult response = co_await call("POST", job, platform::encodeSubmission(job));
        const bool hasResponse = response.outcome == HttpResult::Outcome::Responded;
        if (hasResponse && response.status == kOk) {
            ++m_accepted;
            m_checker.onAccepted(job.id);
            co_return true;
        }
        const bool isUnknown = hasResponse
            ? response.status == kGatewayError || response.status == kOutcomeUnknown
            : response.outcome == HttpResult::Outcome::Unknown;
        mayBeStored = mayBeStored || isUnknown;
        co_await wait(kRetryDelay);
    }
    ++(mayBeStored ? m_unknown : m_refused);
    if (!mayBeStored)
        m_checker.onRefused(job.id);
    co_return false;
}

asio::awaitable<void> Callers::runCaller(JobSpec job, Millis delay)
{
    const CountGuard guard(m_active);
    co_await wait(delay);
    if (!co_await submit(job))
        co_return;
    const bool isLongRunning = job.steps.front().isLongRunning;
    if (isLongRunning || m_random() % 12 == 0) {
        co_await wait(isLongRunning ? m_longRunningTime : 2 * kPollInterval);
        co_await cancel(job);
    }
    co_await awaitEnd(job);
}

asio::awaitable<void> Callers::cancel(const JobSpec &job)
{
    m_checker.onCancelSent(job.id);
    bool isConfirmed = false;
    while (!isConfirmed) {
        const HttpResult response = co_await call("DELETE", job, "");
        isConfirmed = response.outcome == HttpResult::Outcome::Responded
            && (response.status == kOk || response.status == kGone);
        co_await wait(kRetryDelay);
    }
}

/// Polls the job's state until it is final.
asio::awaitable<void> Callers::awaitEnd(const JobSpec &job)
{
    bool isEnded = false;
    while (!isEnded) {
        co_await wait(kPollInterval);
        const HttpResult response = co_await call("GET", job, "");
        if (response.outcome != HttpResult::Outcome::Responded
            || (response.status != kOk && response.status != kGone))
            continue;
        const auto state = response.status == kGone ? std::nullopt
                                                    : platform::decodeJobState(response.body);
        m_checker.onStateReported(job.id, state);
        isEnded = !state || isFinal(*state);
    }
}

} // namespace oleanderhall::soak
