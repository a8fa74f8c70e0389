// Stand-in for the platform's workers and for the upstreams that run on them. A single process
// simulates all hosts; each host has a loopback IP address of its own.
#include "worker.h"

#include <CLI/CLI.hpp>
#include <cpprest/http_listener.h>
#include <pplx/threadpool.h>

#include <csignal>
#include <iostream>
#include <thread>

using web::http::http_request;
using web::http::methods;
using web::http::status_codes;

namespace standin {

namespace {

constexpr int kApiThreads = 16;
constexpr int kInstanceThreads = 3;
constexpr web::http::status_code kStaleEpochStatus = status_codes::Conflict;

class WorkerFleet
{
public:
    WorkerFleet(boost::asio::io_context &io, std::chrono::milliseconds rebootTime)
        : m_io(io)
        , m_rebootTime(rebootTime)
    {}

    void handle(http_request request)
    {
        // Waiting for the body would block a pool thread that is needed to read it.
        request.extract_utf8string(true).then(
            [this, request](const pplx::task<std::string> &body) { handleBody(request, body); });
    }

private:
    void handleBody(http_request request, const pplx::task<std::string> &body)
    {
        try {
            route(request, body.get());
        } catch (const std::exception &error) {
            request.reply(status_codes::BadRequest, error.what());
        }
    }

    void route(http_request request, const std::string &body)
    {
        const auto segments = web::uri::split_path(request.relative_uri().path());
        const std::string first = segments.empty() ? "" : segments[0];
        const std::string name = segments.size() > 1 ? segments[1] : "";
        const std::string action = segments.size() > 2 ? segments[2] : "";
        if (first == "executions") {
            request.reply(status_codes::OK, m_log.text());
        } else if (first == "fault") {
            worker(name).setFault(web::json::value::parse(body).at("mode").as_string());
            request.reply(status_codes::OK);
        } else if (first != "workers" || name.empty()) {
            request.reply(status_codes::NotFound);
        } else if (!worker(name).isUp()) {
            request.reply(status_codes::ServiceUnavailable);
        } else if (request.method() == methods::GET) {
            request.reply(status_codes::OK, worker(name).state());
        } else {
            const auto json = web::json::value::parse(body);
            const bool isDone = action == "reboot" ? worker(name).reboot(json)
                                                   : worker(name).setTasks(json);
            request.reply(isDone ? status_codes::OK : kStaleEpochStatus);
        }
    }

    Worker &worker(const std::string &name)
    {
        const std::lock_guard lock(m_mutex);
        auto &entry = m_workers[name];
        if (!entry)
            entry = std::make_unique<Worker>(name, m_io, m_log, m_rebootTime);
        return *entry;
    }

    boost::asio::io_context &m_io;
    std::chrono::milliseconds m_rebootTime;
    ExecutionLog m_log;
    std::mutex m_mutex;
    std::map<std::string, std::unique_ptr<Worker>> m_workers;
};

} // namespace

} // namespace standin

int main(int argc, char **argv)
{
    CLI::App app{"Stand-in for the platform's workers and their upstreams"};
    std::string listen = "http://127.0.0.1:9001";
    int rebootMs = 2000;
    app.add_option("--listen", listen, "URL that the worker API listens on");
    app.add_option("--reboot-ms", rebootMs, "Duration of a reboot in milliseconds");
    CLI11_PARSE(app, argc, argv);

    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    crossplat::threadpool::initialize_with_threads(standin::kApiThreads);
    boost::asio::io_context io;
    const auto work = boost::asio::make_work_guard(io);
    std::vector<std::jthread> threads;
    threads.reserve(standin::kInstanceThreads);
    for (int index = 0; index < standin::kInstanceThreads; ++index)
        threads.emplace_back([&io] { io.run(); });
    standin::WorkerFleet fleet(io, std::chrono::milliseconds(rebootMs));
    web::http::experimental::listener::http_listener listener(listen);
    listener.support([&fleet](http_request request) { fleet.handle(request); });
    listener.open().wait();
    std::cout << "workers stand-in listens on " << listen << std::endl;
    int received = 0;
    sigwait(&signals, &received);
    listener.close().wait();
    io.stop();
    return 0;
}
