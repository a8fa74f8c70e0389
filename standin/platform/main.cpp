// Stand-in for the platform's transactional table, object store and host list, with fault injection
// for tests. All data is kept in memory.
#include "faultswitch.h"
#include "hostlistservice.h"
#include "tableservice.h"

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

constexpr std::chrono::seconds kSilentDuration{30};
constexpr int kThreads = 32;

/// Serves a call under the current fault. `work(request, replies)` executes the call and, if
/// `replies` is true, sends the response.
template <typename Work>
void serve(FaultSwitch &faults, http_request request, const Work &work)
{
    switch (faults.next()) {
    case Fault::Down:
        request.reply(status_codes::ServiceUnavailable);
        return;
    case Fault::Silent:
        std::this_thread::sleep_for(kSilentDuration);
        return;
    case Fault::Slow:
        std::this_thread::sleep_for(faults.delay());
        work(request, true);
        return;
    case Fault::LostResponse:
        work(request, false);
        request.reply(status_codes::InternalError);
        return;
    case Fault::DelayedEffect:
        request.reply(status_codes::InternalError);
        std::this_thread::sleep_for(faults.delay());
        work(request, false);
        return;
    case Fault::None:
        work(request, true);
        return;
    }
}

class Platform
{
public:
    explicit Platform(std::chrono::milliseconds listLag)
        : m_hosts(listLag)
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
        const std::string second = segments.size() > 1 ? segments[1] : "";
        if (first == "fault") {
            const auto json = web::json::value::parse(body);
            (second == "list" ? m_listFaults : m_faults).set(json);
            request.reply(status_codes::OK);
        } else if (first == "journal") {
            request.reply(status_codes::OK, m_table.journal());
        } else if (first == "admin") {
            m_hosts.set(second, web::json::value::parse(body).at("state").as_string());
            request.reply(status_codes::OK);
        } else if (first == "hosts") {
            serve(m_listFaults, request, [this](http_request call, bool replies) {
                if (replies)
                    call.reply(status_codes::OK, m_hosts.list());
            });
        } else if (first == "objects") {
            serve(m_faults, request, [this, second, body](http_request call, bool replies) {
                handleObject(call, second, body, replies);
            });
        } else {
            const auto json = web::json::value::parse(body);
            serve(m_faults, request, [this, json](http_request call, bool replies) {
                handleTable(call, json, replies);
            });
        }
    }

    void handleTable(http_request request, const web::json::value &body, bool replies)
    {
        const TableResponse response = m_table.handleRequest(request.headers()["X-Amz-Target"],
                                                             body);
        if (replies)
            request.reply(static_cast<web::http::status_code>(response.status), response.body);
    }

    void handleObject(http_request request, const std::string &key, const std::string &body,
                      bool replies)
    {
        const std::lock_guard lock(m_objectsMutex);
        if (request.method() == methods::PUT)
            m_objects[key] = body;
        if (!replies)
            return;
        const auto found = m_objects.find(key);
        if (found == m_objects.end())
            request.reply(status_codes::NotFound);
        else
            request.reply(status_codes::OK, found->second, "application/octet-stream");
    }

    FaultSwitch m_faults;
    FaultSwitch m_listFaults;
    TableService m_table;
    HostListService m_hosts;
    std::mutex m_objectsMutex;
    std::map<std::string, std::string> m_objects;
};

} // namespace

} // namespace standin

int main(int argc, char **argv)
{
    CLI::App app{"Stand-in for the platform's table, object store and host list"};
    std::string listen = "http://127.0.0.1:9000";
    int lagMs = 1000;
    app.add_option("--listen", listen, "URL to listen on")->envname("STANDIN_LISTEN");
    app.add_option("--list-lag-ms", lagMs, "Delay of changes in the host list in milliseconds");
    CLI11_PARSE(app, argc, argv);

    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    crossplat::threadpool::initialize_with_threads(standin::kThreads);
    standin::Platform platform{std::chrono::milliseconds(lagMs)};
    web::http::experimental::listener::http_listener listener(listen);
    listener.support([&platform](http_request request) { platform.handle(request); });
    listener.open().wait();
    std::cout << "platform stand-in listens on " << listen << std::endl;
    int received = 0;
    sigwait(&signals, &received);
    listener.close().wait();
    return 0;
}
