#include "../../src/http/httpclient.h"

#include "../support/fakeupstream.h"

#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>

#include <algorithm>

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
