#include "operatorserver.h"

#include "metrics.h"
#include "operatorapi.h"

#include <boost/asio/post.hpp>
#include <boost/asio/thread_pool.hpp>
#include <cpprest/http_listener.h>

namespace oleanderhall {

using web::http::http_request;
using web::http::status_codes;

namespace {

constexpr int kCallThreads = 2;

} // namespace

struct OperatorServer::Listener
{
    Listener(const SocketAddress &address, OperatorApi &operatorApi, Metrics &daemonMetrics,
             std::function<bool()> readinessCheck)
        : api(operatorApi)
        , metrics(daemonMetrics)
        , isReady(std::move(readinessCheck))
        , listener("http://" + address.text())
    {
        listener.support([this](const http_request &request) { handle(request); });
        listener.open().wait();
    }
    ~Listener()
    {
        listener.close().wait();
        callThreads.join();
    }
    Listener(const Listener &) = delete;
    Listener &operator=(const Listener &) = delete;

    void handle(http_request request)
    {
        const std::string path = request.relative_uri().path();
        if (path == "/livez")
            return reply(request, status_codes::OK, "ok\n");
        if (path == "/readyz" && isReady())
            return reply(request, status_codes::OK, "ok\n");
        if (path == "/readyz")
            return reply(request, status_codes::ServiceUnavailable, "not ready\n");
        if (path == "/metrics")
            return reply(request, status_codes::OK, metrics.text());
        std::vector<std::string> segments = web::uri::split_path(path);
        if (segments.empty() || segments.front() != "v1")
            return reply(request, status_codes::NotFound, "not found\n");
        segments.erase(segments.begin());
        request.extract_utf8string(true).then([this, request,
                                               segments](const pplx::task<std::string> &body) {
            OperatorCall call{.method = request.method(), .path = segments};
            try {
                call.body = body.get();
            } catch (const std::exception &) {
                return; // The connection was closed before the whole body was received.
            }
            call.isDryRun = request.relative_uri().query() == "dryRun=1";
            // A call blocks on the platform's client, which needs the thread pool that runs this
            // continuation, so calls run on threads of their own.
            boost::asio::post(callThreads, [this, request, call]() mutable {
                const OperatorResponse response = api.handle(call);
                request.reply(static_cast<web::http::status_code>(response.status), response.body);
            });
        });
    }

    static void reply(const http_request &request, web::http::status_code status,
                      const std::string &text)
    {
        request.reply(status, text, "text/plain; version=0.0.4");
    }

    OperatorApi &api;
    Metrics &metrics;
    std::function<bool()> isReady;
    boost::asio::thread_pool callThreads{kCallThreads};
    web::http::experimental::listener::http_listener listener;
};

OperatorServer::OperatorServer(const SocketAddress &address, OperatorApi &api, Metrics &metrics,
                               std::function<bool()> isReady)
    : m_listener(std::make_unique<Listener>(address, api, metrics, std::move(isReady)))
{}

OperatorServer::~OperatorServer() = default;

} // namespace oleanderhall
