#include <utility>

#include "../../src/http/upstreamclient.h"

#include "../support/fakeupstream.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <cpprest/http_client.h>
#include <thread>

#include <future>

using namespace oleanderhall;
using test::FakeUpstream;
using Kind = UpstreamOutcome::Kind;

namespace {

class UpstreamClientTest
{
protected:
    UpstreamClientTest() { client.setMaxConnections(4); }
    ~UpstreamClientTest()
    {
        io.stop();
        thread.join();
    }

    UpstreamOutcome send(const FakeUpstream &upstream, Millis timeout, bool mayReuse)
    {
        return sendTo(upstream.port(), timeout, mayReuse);
    }

    UpstreamOutcome sendTo(std::uint16_t port, Millis timeout, bool mayReuse)
    {
        Endpoint endpoint{.host = HostId("h"), .address = "127.0.0.1", .port = port};
        Call call{.method = "POST", .target = "/x", .body = "hello"};
        const Instant deadline = std::chrono::steady_clock::now() + timeout;
        return boost::asio::co_spawn(io, client.send(endpoint, call, deadline, mayReuse),
                                     boost::asio::use_future)
            .get();
    }

    boost::asio::io_context io;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work{
        boost::asio::make_work_guard(io)};
    UpstreamClient client{io, {}};
    std::thread thread{[this] { io.run(); }};
};

} // namespace

TEST_CASE_METHOD(UpstreamClientTest, "UpstreamClient: nobody listens: nothing was sent")
{
    std::uint16_t port = 0;
    {
        const FakeUpstream closed([](auto &, const auto &, int) { return false; });
        port = closed.port();
    }
    CHECK(sendTo(port, Millis(1000), false).kind == Kind::NotSent);
}

TEST_CASE_METHOD(UpstreamClientTest, "UpstreamClient: an answer cut in the middle: is broken")
{
    const FakeUpstream upstream([](auto &socket, const auto &, int) {
        FakeUpstream::send(socket, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf");
        return false;
    });
    CHECK(send(upstream, Millis(1000), true).kind == Kind::InvalidResponse);
}

TEST_CASE_METHOD(UpstreamClientTest, "UpstreamClient: an answer without an end: is broken")
{
    const FakeUpstream upstream([](auto &socket, const auto &, int) {
        FakeUpstream::send(socket, "HTTP/1.1 200 OK\r\n\r\nmaybe whole");
        return false;
    });
    CHECK(send(upstream, Millis(1000), true).kind == Kind::InvalidResponse);
}

TEST_CASE_METHOD(UpstreamClientTest,
                 "UpstreamClient: a late answer: never reaches the next request")
{
    const FakeUpstream upstream([](auto &socket, const auto &, int number) {
        if (number == 1)
            std::this_thread::sleep_for(Millis(300));
        FakeUpstream::send(socket, FakeUpstream::okResponse("answer " + std::to_string(number)));
        return true;
    });
    CHECK(send(upstream, Millis(100), true).kind == Kind::TimedOut);
    const UpstreamOutcome second = send(upstream, Millis(2000), true);
    CHECK(second.kind == Kind::Responded);
    CHECK(second.reply.body == "answer 2");
    CHECK(upstream.connectionCount() == 2);
}

TEST_CASE_METHOD(UpstreamClientTest, "UpstreamClient: bytes after an answer: it is not used")
{
    const FakeUpstream upstream([](auto &socket, const auto &, int) {
        FakeUpstream::send(socket,
                           FakeUpstream::okResponse("one") + FakeUpstream::okResponse("two"));
        return false;
    });
    CHECK(send(upstream, Millis(1000), true).kind == Kind::InvalidResponse);
}

TEST_CASE_METHOD(UpstreamClientTest, "UpstreamClient: a whole answer: the connection is used again")
{
    const FakeUpstream upstream([](auto &socket, const auto &, int) {
        FakeUpstream::send(socket, FakeUpstream::okResponse("ok"));
        return true;
    });
    CHECK(send(upstream, Millis(1000), true).kind == Kind::Responded);
    CHECK(send(upstream, Millis(1000), true).kind == Kind::Responded);
    CHECK(upstream.connectionCount() == 1);
    client.closeIdle(std::chrono::steady_clock::now() + std::chrono::hours(1));
}

TEST_CASE_METHOD(UpstreamClientTest,
                 "UpstreamClient: the upstream closes after reading: the request is sent once")
{
    const FakeUpstream upstream([](auto &socket, const auto &, int number) {
        if (number == 1)
            FakeUpstream::send(socket, FakeUpstream::okResponse("ok"));
        return number == 1;
    });
    CHECK(send(upstream, Millis(1000), true).kind == Kind::Responded);
    CHECK(send(upstream, Millis(1000), true).kind == Kind::Stale);
    CHECK(upstream.requestCount() == 2);
}

TEST_CASE("cpprestsdk's client: the upstream closes after reading: the request is sent twice")
{
    // This is why UpstreamClient exists: when the upstream closes a reused connection after it has
    // read a request, as in the test above, cpprestsdk's client sends the request again, although
    // the upstream may already have executed it.
    const FakeUpstream upstream([](auto &socket, const auto &, int number) {
        if (number == 1)
            FakeUpstream::send(socket, FakeUpstream::okResponse("ok"));
        return number == 1;
    });
    web::http::client::http_client client(
        web::uri("http://127.0.0.1:" + std::to_string(upstream.port())));
    client.request(web::http::methods::POST, "/x", "hello").get().extract_string().get();
    // The client puts its connection back into its pool only after it has passed on the body. A
    // request before that opens another connection, which this upstream doesn't accept meanwhile.
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    CHECK_THROWS(client.request(web::http::methods::POST, "/x", "hello").get());
    CHECK(upstream.requestCount() == 3);
}
