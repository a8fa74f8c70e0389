#include "../../src/http/httpclient.h"

#include "../support/fakeupstream.h"

#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <future>
#include <optional>
#include <thread>

using namespace oleanderhall;
using test::FakeUpstream;

namespace {

/// A client with one connection to an upstream that never answers.
class HttpClientTest
{
protected:
    HttpClientTest()
        : upstream([](FakeUpstream::Socket &, const std::string &, int) { return true; })
        , client(
              std::make_shared<HttpClient>(io, "127.0.0.1:" + std::to_string(upstream.port()), 1))
    {}

    void send()
    {
        client->send({.method = "POST", .target = "/", .timeout = Millis(5000)},
                     [this](const HttpResult &result) { outcomes.push_back(result.outcome); });
    }

    boost::asio::io_context io{1};
    FakeUpstream upstream;
    std::shared_ptr<HttpClient> client;
    std::vector<HttpResult::Outcome> outcomes;
};

} // namespace

TEST_CASE("HttpClient_callTimedOut_resetsItsConnection", "[http]")
{
    // Guards against commands that are carried out late: bytes held up by a partition are delivered
    // when it ends, unless their sender has reset the connection.
    std::promise<boost::system::error_code> ended;
    FakeUpstream upstream([&ended](FakeUpstream::Socket &socket, const std::string &, int) {
        char byte = 0;
        boost::system::error_code error;
        socket.read_some(boost::asio::buffer(&byte, 1), error);
        ended.set_value(error);
        return false;
    });
    boost::asio::io_context io{1};
    const auto client = std::make_shared<HttpClient>(
        io, "127.0.0.1:" + std::to_string(upstream.port()), 1);
    std::optional<HttpResult::Outcome> outcome;
    client->send({.method = "POST", .target = "/", .timeout = Millis(200)},
                 [&outcome](const HttpResult &result) { outcome = result.outcome; });
    io.run();
    CHECK(outcome == HttpResult::Outcome::Unknown);
    CHECK(ended.get_future().get() == boost::asio::error::connection_reset);
}

TEST_CASE_METHOD(HttpClientTest, "HttpClient_closed_endsQueuedCallsAsNotSent", "[http]")
{
    // Guards against calls to a worker that has terminated: they were still sent, on a connection
    // that was opened for them.
    send();
    send();
    boost::asio::steady_timer timer(io, std::chrono::milliseconds(200));
    timer.async_wait([this](const boost::system::error_code &) {
        client->close();
        send();
    });
    io.run();
    REQUIRE(outcomes.size() == 3);
    CHECK(outcomes[0] != HttpResult::Outcome::Responded);
    CHECK(std::count(outcomes.begin(), outcomes.end(), HttpResult::Outcome::NotSent) == 2);
    CHECK(upstream.requestCount() == 1);
    CHECK(client->connectionsOpened() == 1);
}

TEST_CASE("HttpClient_serverClosedIdleConnection_sendsPostOnAnother", "[http]")
{
    // Guards against an unknown outcome for a POST that met a connection closed while it was idle,
    // as when a peer has been restarted.
    FakeUpstream upstream([](FakeUpstream::Socket &socket, const std::string &, int) {
        FakeUpstream::send(socket, FakeUpstream::okResponse("fine"));
        return false;
    });
    boost::asio::io_context io{1};
    const auto client = std::make_shared<HttpClient>(
        io, "127.0.0.1:" + std::to_string(upstream.port()), 1);
    std::vector<HttpResult> results;
    const auto post = [&] {
        client->send({.method = "POST", .target = "/", .wantsHeaders = true},
                     [&results](HttpResult result) { results.push_back(std::move(result)); });
    };
    post();
    boost::asio::steady_timer pause(io, std::chrono::milliseconds(200));
    pause.async_wait([&post](const boost::system::error_code &) { post(); });
    io.run();
    REQUIRE(results.size() == 2);
    CHECK(results[1].outcome == HttpResult::Outcome::Responded);
    CHECK(results[1].headers == HeaderList{{"Content-Length", "4"}});
    CHECK(upstream.requestCount() == 2);
}

TEST_CASE_METHOD(HttpClientTest, "HttpClient_permissionLapsedInTheQueue_writesNothing", "[http]")
{
    // Guards against commands of an owner that was paused between the decision and the writing.
    const Instant expiry = std::chrono::steady_clock::now() + Millis(100);
    client->send({.method = "POST",
                  .target = "/",
                  .timeout = Millis(5000),
                  .isPermitted = [expiry] { return std::chrono::steady_clock::now() < expiry; }},
                 [this](const HttpResult &result) { outcomes.push_back(result.outcome); });
    std::this_thread::sleep_for(Millis(200));
    io.run();
    REQUIRE(outcomes.size() == 1);
    CHECK(outcomes[0] == HttpResult::Outcome::Withheld);
    CHECK(upstream.requestCount() == 0);
}

TEST_CASE_METHOD(HttpClientTest, "HttpClient_permissionLapsesWhileConnecting_writesNothing",
                 "[http]")
{
    int asked = 0;
    client->send({.method = "POST",
                  .target = "/",
                  .timeout = Millis(5000),
                  .isPermitted = [&asked] { return ++asked == 1; }},
                 [this](const HttpResult &result) { outcomes.push_back(result.outcome); });
    io.run();
    REQUIRE(outcomes.size() == 1);
    CHECK(outcomes[0] == HttpResult::Outcome::Withheld);
    CHECK(asked == 2);
    CHECK(upstream.requestCount() == 0);
}

namespace {

/// Sends `call` a number of times, one after the other, to `upstream` and returns the results.
std::vector<HttpResult> resultsOf(FakeUpstream &upstream, int calls, const HttpCall &call)
{
    boost::asio::io_context io{1};
    const auto client = std::make_shared<HttpClient>(
        io, "127.0.0.1:" + std::to_string(upstream.port()), 1);
    std::vector<HttpResult> results;
    for (int index = 0; index < calls; ++index)
        client->send(call, [&](HttpResult result) { results.push_back(std::move(result)); });
    io.run();
    return results;
}

const HttpCall kPost{.method = "POST", .target = "/", .timeout = Millis(3000)};

} // namespace

TEST_CASE("HttpClient_responseInParts_isReadWhole", "[http]")
{
    // Guards against responses that are cut at the end of the first read.
    FakeUpstream upstream([](FakeUpstream::Socket &socket, const std::string &, int) {
        const std::string body(70000, 'x');
        const std::string response = FakeUpstream::okResponse(body);
        for (const std::size_t begin : {std::size_t{0}, std::size_t{9}, std::size_t{60}}) {
            const std::size_t end = begin == 0 ? 9 : begin == 9 ? 60 : response.size();
            FakeUpstream::send(socket, response.substr(begin, end - begin));
            std::this_thread::sleep_for(Millis(30));
        }
        return true;
    });
    const std::vector<HttpResult> results = resultsOf(upstream, 2, kPost);
    REQUIRE(results.size() == 2);
    CHECK(results[0].body.size() == 70000);
    CHECK(results[1].body.size() == 70000);
    CHECK(upstream.connectionCount() == 1);
}

TEST_CASE("HttpClient_chunkedOrWithoutLength_bodyIsReadWhole", "[http]")
{
    // Guards against a response whose end is not marked by a Content-Length.
    FakeUpstream upstream([](FakeUpstream::Socket &socket, const std::string &, int number) {
        FakeUpstream::send(socket,
                           number == 1 ? "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                                         "\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"
                                       : "HTTP/1.1 503 Busy\r\n\r\nabcd");
        return number == 1;
    });
    const std::vector<HttpResult> results = resultsOf(upstream, 2, kPost);
    REQUIRE(results.size() == 2);
    CHECK(results[0].body == "abc");
    CHECK(results[1].status == 503);
    CHECK(results[1].body == "abcd");
}

TEST_CASE("HttpClient_bytesBeyondTheResponse_answerNoOtherCall", "[http]")
{
    // Guards against a call that takes what a server sent too much for its own response.
    FakeUpstream upstream([](FakeUpstream::Socket &socket, const std::string &, int number) {
        FakeUpstream::send(socket,
                           FakeUpstream::okResponse(std::to_string(number))
                               + FakeUpstream::okResponse("nobody's"));
        return true;
    });
    const std::vector<HttpResult> results = resultsOf(upstream, 2, kPost);
    REQUIRE(results.size() == 2);
    CHECK(results[0].body == "1");
    CHECK(results[1].body == "2");
}

TEST_CASE("HttpClient_fieldsGivenByTheCall_areSentOnce", "[http]")
{
    // Guards against two values of a field, of which a server may use either.
    std::string request;
    FakeUpstream upstream([&](FakeUpstream::Socket &socket, const std::string &text, int) {
        request = text;
        FakeUpstream::send(socket, FakeUpstream::okResponse(""));
        return false;
    });
    HttpCall call = kPost;
    call.body = "{}";
    call.headers = {{"X-A", "1"}, {"host", "other"}, {"content-length", "9"}, {"x-a", "2"}};
    REQUIRE(resultsOf(upstream, 1, call).size() == 1);
    CHECK(request == "POST / HTTP/1.1\r\nhost: other\r\nx-a: 2\r\nContent-Length: 2\r\n\r\n{}");
}

TEST_CASE_METHOD(HttpClientTest, "HttpClient_laterCallHasEarlierDeadline_timesOutFirst", "[http]")
{
    // Guards against a shared timer that waits for the deadline that was set first.
    FakeUpstream second([](FakeUpstream::Socket &, const std::string &, int) { return true; });
    const auto other = std::make_shared<HttpClient>(
        io, "127.0.0.1:" + std::to_string(second.port()), 1);
    const Instant start = std::chrono::steady_clock::now();
    std::vector<std::pair<int, Millis>> ends;
    const auto end = [&](int number) {
        return [&ends, start, number](const HttpResult &result) {
            CHECK(result.outcome == HttpResult::Outcome::Unknown);
            ends.emplace_back(
                number,
                std::chrono::duration_cast<Millis>(std::chrono::steady_clock::now() - start));
        };
    };
    client->send({.method = "POST", .target = "/", .timeout = Millis(900)}, end(1));
    other->send({.method = "POST", .target = "/", .timeout = Millis(100)}, end(2));
    io.run();
    REQUIRE(ends.size() == 2);
    CHECK(ends[0].first == 2);
    CHECK(ends[0].second < Millis(600));
    CHECK(ends[1].second >= Millis(890));
}
