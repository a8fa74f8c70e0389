// Measures the processor time that starts and polls cost the process that sends them. The workers
// are a server on loopback in another thread, so only the client's thread is measured. Prints CSV:
// one row each for starts and polls, per repetition.
#include "../../platform/workerclient.h"
#include "../../src/http/call.h"
#include "../../src/http/callerserver.h"

#include <boost/asio.hpp>

#include <ctime>
#include <functional>
#include <iostream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace oleanderhall;

namespace {

constexpr int kWorkers = 200;
constexpr int kCallsInFlight = 100; // at most one for each worker
constexpr int kWarmUpCalls = 2000;
constexpr int kMeasuredCalls = 30000;
constexpr int kRepeats = 3;
constexpr std::uint16_t kPort = 18931;
const std::string kAddress = "127.0.0.1";
const std::string kStarted = R"({"clockMs":482113,"born":1796383700123})";
const std::string kStatus =
    R"({"clockMs":482113,"born":1796383700123,"running":[["5c0e7a21d94b36f8.0.1.17",2,"",41,1200],)"
    R"(["5c0e7a21d94b36f8.0.1.18",2,"00bb",63,900],["77aa7a21d94b36f8.0.0.3",8589934593,"",100,35]],)"
    R"("finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})";

/// A server that answers starts and polls as workers do.
class Workers
{
public:
    Workers()
        : m_server(std::make_shared<CallerServer>(m_io, limits(), handler(), m_metrics))
    {
        m_server->start(kAddress, kPort);
        m_thread = std::thread([this] { m_io.run(); });
    }
    ~Workers()
    {
        m_io.stop();
        m_thread.join();
    }
    Workers(const Workers &) = delete;
    Workers &operator=(const Workers &) = delete;

private:
    static CallerLimits limits()
    {
        CallerLimits limits;
        limits.connections = 4 * kWorkers;
        return limits;
    }
    static RequestHandler handler()
    {
        return [](HttpRequest &request) -> boost::asio::awaitable<Reply> {
            co_return Reply{.status = 200,
                            .headers = {{"Content-Type", "application/json"}},
                            .body = request.target() == "/-/hold" ? kStatus : kStarted};
        };
    }

    boost::asio::io_context m_io{1};
    Metrics m_metrics;
    std::shared_ptr<CallerServer> m_server;
    std::thread m_thread;
};

double threadMicroseconds()
{
    timespec time{};
    ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    constexpr double kMicrosPerSecond = 1e6;
    constexpr double kNanosPerMicro = 1e3;
    return static_cast<double>(time.tv_sec) * kMicrosPerSecond
        + static_cast<double>(time.tv_nsec) / kNanosPerMicro;
}

/// Sends calls through a WorkerClient, a fixed number at a time.
class Load
{
public:
    Load()
        : m_client(m_io, m_metrics, 7)
    {
        m_client.setPermission([](platform::WorkerClient::CallKind) { return true; });
        for (int index = 0; index < kWorkers; ++index)
            m_workers.emplace_back("worker-" + std::to_string(index));
    }

    /// Returns the mean microseconds of this thread's processor time for each of `calls` calls.
    /// `send` sends one call to the given worker.
    template <typename Send>
    double run(int calls, const Send &send)
    {
        const double before = threadMicroseconds();
        m_unsent = calls;
        m_sendNext = [this, &send] {
            if (m_unsent-- > 0)
                send(m_workers[static_cast<std::size_t>(m_unsent) % m_workers.size()]);
        };
        for (int index = 0; index < kCallsInFlight; ++index)
            m_sendNext();
        m_io.restart();
        m_io.run();
        return (threadMicroseconds() - before) / calls;
    }

    double runStarts(int calls)
    {
        return run(calls, [this](WorkerId worker) {
            const StartCommand command{.worker = worker,
                                       .task = {JobId{0x5c0e7a21d94b36f8}, 0, 1, 17},
                                       .run = 8589934593,
                                       .payload = std::string(200, 'x'),
                                       .leaseExpiry = Millis(485613)};
            m_client.start(m_address, command, [this](CallResult result) { onDone(result); });
        });
    }

    double runPolls(int calls)
    {
        return run(calls, [this](WorkerId worker) {
            const PollRequest request{.worker = worker,
                                      .acknowledgedEnd = 57,
                                      .leaseExpiry = Millis(485613),
                                      .answerTime = Millis(5000)};
            m_client.poll(
                m_address, request,
                [this](CallResult result, const WorkerStatus &, Instant) { onDone(result); });
        });
    }

    int failures() const { return m_failures; }

private:
    void onDone(CallResult result)
    {
        m_failures += result == CallResult::Ok ? 0 : 1;
        m_sendNext();
    }

    const std::string m_address = kAddress + ":" + std::to_string(kPort);
    boost::asio::io_context m_io{1};
    Metrics m_metrics;
    platform::WorkerClient m_client;
    std::vector<WorkerId> m_workers;
    std::function<void()> m_sendNext;
    int m_unsent = 0;
    int m_failures = 0;
};

} // namespace

int main()
{
    const Workers workers;
    Load load;
    load.runStarts(kWarmUpCalls);
    load.runPolls(kWarmUpCalls);
    std::cout << "call,calls,cpu_us_per_call\n";
    for (int repeat = 0; repeat < kRepeats; ++repeat) {
        std::cout << "start," << kMeasuredCalls << "," << load.runStarts(kMeasuredCalls) << "\n";
        std::cout << "poll," << kMeasuredCalls << "," << load.runPolls(kMeasuredCalls) << "\n";
    }
    std::cout << "failed," << load.failures() << ",\n";
    return load.failures() == 0 ? 0 : 1;
}
