#include <utility>

#include "../../src/http/callerserver.h"

#include "../../src/daemon/metrics.h"
#include "../../src/http/claimservice.h"
#include "../../src/http/dispatcher.h"
#include "../../src/http/requesttraces.h"
#include "../../src/http/routetable.h"
#include "../../src/http/servicehandler.h"
#include "../../src/http/upstreamclient.h"

#include "../support/fakeupstream.h"
#include "../support/freeports.h"
#include "../support/registers.h"

#include <catch2/catch.hpp>

#include <fstream>

using namespace oleanderhall;
using test::FakeUpstream;
namespace asio = boost::asio;

namespace {

/// Runs a CallerServer on loopback with the service "alpha", which has one upstream.
class CallerServerTest
{
protected:
    explicit CallerServerTest(CallerLimits limits = {.headerBytes = 2048,
                                                     .bodyBytes = 4096,
                                                     .bufferedBytes = 8192,
                                                     .connections = 8,
                                                     .headerTimeout = Millis(300),
                                                     .bodyTimeout = Millis(300),
                                                     .idleTimeout = Millis(2000)})
        : server(std::make_shared<CallerServer>(
            io, limits,
            makeServiceHandler(
                dispatcher, routes, metrics, [] { return true; }, isDraining),
            metrics))
    {
        lease.renew(std::chrono::steady_clock::now() + std::chrono::hours(1));
        FleetState state;
        Register config = test::smallRegister();
        config.services.at(ServiceId("alpha")).port = upstream.port();
        config.services.at(ServiceId("alpha")).unrepeatable = {{"POST", "/orders"}};
        config.hosts.at(HostId("a0")).address = "127.0.0.1";
        HostRecord record{.id = HostId("a0"), .pool = PoolId("a"), .state = HostState::Serving};
        record.instances.push_back({ServiceId("alpha"), InstanceState::Ready});
        state.restore({1}, {1}, config, {record}, {});
        routes.refresh(state, {});
        server->start("127.0.0.1", port);
    }
    ~CallerServerTest()
    {
        server->stop();
        io.stop();
        thread.join();
    }

    asio::ip::tcp::socket connect()
    {
        asio::ip::tcp::socket socket(client);
        socket.connect({asio::ip::make_address("127.0.0.1"), port});
        return socket;
    }

    /// Sends `text` and returns everything that the server sends until it closes the connection.
    std::string exchange(const std::string &text)
    {
        asio::ip::tcp::socket socket = connect();
        FakeUpstream::send(socket, text);
        return readAll(socket);
    }

    static std::string readAll(asio::ip::tcp::socket &socket)
    {
        std::string response;
        boost::system::error_code ignored;
        asio::read(socket, asio::dynamic_buffer(response), ignored);
        return response;
    }

    /// Returns whether `response` is a refusal that reports the request as not executed.
    static bool isRefusal(const std::string &response, const std::string &status,
                          const std::string &reason)
    {
        return response.starts_with("HTTP/1.1 " + status)
            && response.find("\"reason\":\"" + reason + "\",\"ran\":\"no\"") != std::string::npos;
    }

    /// Sends `head` and then `megabytes` of padding, until the server closes the connection.
    void flood(const std::string &head, int megabytes)
    {
        asio::ip::tcp::socket socket = connect();
        FakeUpstream::send(socket, head);
        const std::string padding(1 << 16, 'f');
        boost::system::error_code failed;
        for (int count = 0; count < megabytes * 16 && !failed; ++count)
            asio::write(socket, asio::buffer(padding), failed);
    }

    static long residentPages()
    {
        std::ifstream statm("/proc/self/statm");
        long total = 0;
        long resident = 0;
        statm >> total >> resident;
        return resident;
    }

    const std::uint16_t port = test::freePorts(1);
    const std::string
        kValidRequest = "GET /alpha/x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";

    FakeUpstream upstream{[](auto &socket, const auto &request, int) {
        if (request.find(" /cut") != std::string::npos) {
            FakeUpstream::send(socket, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf");
            return false;
        }
        FakeUpstream::send(socket, FakeUpstream::okResponse("fine"));
        return true;
    }};
    asio::io_context client;
    asio::io_context io;
    asio::executor_work_guard<asio::io_context::executor_type> work{asio::make_work_guard(io)};
    Metrics metrics;
    RequestTraces traces;
    ViewLease lease{Millis(3000)};
    RouteTable routes{RouterSettings{.zone = ZoneId("z0")}};
    UpstreamClient upstreams{io, {}};
    // No server listens on this port, so that every claim fails.
    DynamoTable table{"http://127.0.0.1:1/", Millis(200)};
    ClaimService claims{table};
    std::atomic<bool> isDraining{false};
    Dispatcher dispatcher{{routes, upstreams, claims, lease, metrics, traces}};
    std::shared_ptr<CallerServer> server;
    std::thread thread{[this] { io.run(); }};
};

} // namespace

TEST_CASE_METHOD(CallerServerTest, "CallerServer: a good request: the upstream's answer comes back")
{
    const std::string response = exchange(kValidRequest);
    CHECK(response.starts_with("HTTP/1.1 200"));
    CHECK(response.ends_with("fine"));
}

TEST_CASE_METHOD(CallerServerTest, "CallerServer: an endless header: refused with its limit kept")
{
    const std::string response = exchange("GET /alpha/x HTTP/1.1\r\nX: " + std::string(100000, 'x')
                                          + "\r\n\r\n");
    CHECK(isRefusal(response, "431", "header_too_large"));
}

TEST_CASE_METHOD(CallerServerTest, "CallerServer: a body over the limit: refused before it is read")
{
    const std::string response = exchange(
        "POST /alpha/x HTTP/1.1\r\nHost: h\r\nContent-Length: 104857600\r\n\r\nx");
    CHECK(isRefusal(response, "413", "body_too_large"));
}

TEST_CASE_METHOD(CallerServerTest, "CallerServer: an endless chunked body: refused at the limit")
{
    std::string chunks;
    for (int count = 0; count < 100; ++count)
        chunks += "100\r\n" + std::string(256, 'c') + "\r\n";
    const std::string response = exchange(
        "POST /alpha/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks);
    CHECK(isRefusal(response, "413", "body_too_large"));
}

TEST_CASE_METHOD(CallerServerTest, "CallerServer: two lengths: refused, and nothing is run")
{
    for (const std::string fields : {"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
                                     "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n",
                                     "Content-Length: 4\r\nContent-Length: 5\r\n"}) {
        const std::string response = exchange("POST /alpha/x HTTP/1.1\r\nHost: h\r\n" + fields
                                              + "\r\n0\r\n\r\nGET /alpha/y HTTP/1.1\r\n\r\n");
        CHECK(isRefusal(response, "400", "bad_request"));
    }
    CHECK(upstream.requestCount() == 0);
}

TEST_CASE_METHOD(CallerServerTest, "CallerServer: a slow sender: refused, and others are served")
{
    asio::ip::tcp::socket slow = connect();
    FakeUpstream::send(slow, "GET /alpha/x HT");
    CHECK(exchange(kValidRequest).starts_with("HTTP/1.1 200"));
    CHECK(isRefusal(readAll(slow), "408", "request_too_slow"));
}

TEST_CASE_METHOD(CallerServerTest, "CallerServer: a body that stops half way: refused as too slow")
{
    const std::string response = exchange(
        "POST /alpha/x HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\nhalf");
    CHECK(isRefusal(response, "408", "request_too_slow"));
    CHECK(upstream.requestCount() == 0);
}

TEST_CASE_METHOD(CallerServerTest,
                 "CallerServer: more connections than allowed: closed and counted")
{
    std::vector<asio::ip::tcp::socket> idle;
    for (int count = 0; count < 8; ++count)
        idle.push_back(connect());
    asio::ip::tcp::socket extra = connect();
    CHECK(readAll(extra).empty());
    CHECK(metrics.text().find("refusals_total{reason=\"too_many_connections\"} 1\n")
          != std::string::npos);
}

TEST_CASE_METHOD(CallerServerTest, "CallerServer: faulty requests: each gets its reason")
{
    const auto request = [](const std::string &line, const std::string &fields) {
        return line + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n" + fields + "\r\n";
    };
    CHECK(isRefusal(exchange("nonsense\r\n\r\n"), "400", "bad_request"));
    CHECK(isRefusal(exchange(request("GET /nowhere", "")), "404", "unknown_service"));
    for (const std::string timeout : {"0", "-1", "x", "99999999999", "5s"}) {
        const std::string field = "X-Request-Timeout-Ms: " + timeout + "\r\n";
        CHECK(isRefusal(exchange(request("GET /alpha/x", field)), "400", "bad_timeout"));
    }
    CHECK(isRefusal(exchange(request("POST /alpha/orders", "Content-Length: 0\r\n")), "400",
                    "missing_key"));
    const std::string key = "Content-Length: 0\r\nIdempotency-Key: ";
    CHECK(isRefusal(exchange(request("POST /alpha/orders", key + std::string(300, 'k') + "\r\n")),
                    "400", "bad_key"));
    CHECK(isRefusal(exchange(request("POST /alpha/orders", key + "a\r\nIdempotency-Key: b\r\n")),
                    "400", "bad_key"));
    CHECK(upstream.requestCount() == 0);
}

TEST_CASE_METHOD(CallerServerTest,
                 "CallerServer: an unrepeatable request without the table: refused as not run")
{
    const std::string response = exchange(
        "POST /alpha/orders HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
        "Content-Length: 0\r\nIdempotency-Key: k\r\n\r\n");
    CHECK(isRefusal(response, "503", "claims_unavailable"));
    CHECK(response.find("Retry-After: 1\r\n") != std::string::npos);
    CHECK(upstream.requestCount() == 0);
}

TEST_CASE_METHOD(CallerServerTest,
                 "CallerServer: the only upstream cuts its answer: refused with an unknown outcome")
{
    constexpr int kRequestsForOneRetry = 20;
    for (int count = 0; count < kRequestsForOneRetry; ++count)
        exchange(kValidRequest);
    const std::string response = exchange(
        "GET /alpha/cut HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    CHECK(response.starts_with("HTTP/1.1 502"));
    CHECK(response.find("\"ran\":\"unknown\"") != std::string::npos);
    CHECK(exchange(kValidRequest).starts_with("HTTP/1.1 200"));
}

TEST_CASE_METHOD(CallerServerTest,
                 "CallerServer: 100 MB of header or body: memory stays and others are served")
{
    constexpr int kMegabytes = 100;
    constexpr long kPagesPerMegabyte = 256;
    constexpr long kMaxGrowthPages = 8 * kPagesPerMegabyte;
    exchange(kValidRequest);
    const long before = residentPages();
    flood("GET /alpha/x HTTP/1.1\r\nX: ", kMegabytes);
    flood("POST /alpha/x HTTP/1.1\r\nHost: h\r\nContent-Length: 104857600\r\n\r\n", kMegabytes);
    flood("POST /alpha/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n6400000\r\n",
          kMegabytes);
    CHECK(residentPages() - before < kMaxGrowthPages);
    CHECK(exchange(kValidRequest).starts_with("HTTP/1.1 200"));
    CHECK(upstream.requestCount() == 2);
}
