// Guards against callers that are told something false, or that wait in vain, while the table of a
// real CallerApi loses answers or goes silent.
#include <utility>

#include "../../src/node/callerapi.h"
#include "../../src/node/storednames.h"

#include "../../platform/callermessages.h"
#include "../../platform/standin/standinrows.h"
#include "../../platform/standin/standintable.h"
#include "../support/freeports.h"

#include "oleanderhall/core/clock.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>

using namespace oleanderhall;
namespace asio = boost::asio;
using Method = boost::beast::http::verb;

namespace {

constexpr const char *kTeamKey = "key-1";

class CallerApiTest
{
protected:
    struct Response
    {
        Reply reply;
        Millis duration{0};
    };
    using ResponsePtr = std::shared_ptr<std::optional<Response>>;

    CallerApiTest()
    {
        server->start("127.0.0.1", tablePort);
        const TeamConfig team{.id = TeamId("team"), .keys = {digestOf(kTeamKey)}, .weight = 1};
        view.config = FleetConfig{.version = {1}, .teams = {team}};
        for (const char *name : {"open", "teams"})
            view.config->queues.push_back({.name = name,
                                           .host = "h",
                                           .prefix = std::string("/") + name + "/",
                                           .pool = PoolId("pool"),
                                           .isPublic = name == std::string("open")});
        view.teams = TeamDirectory(view.config->teams);
    }

    ResponsePtr submit(std::uint64_t job, const char *queue = "open",
                       Millis timeLimit = Millis(3000))
    {
        return send(
            Method::post, job, queue, timeLimit,
            platform::encodeSubmission({.steps = {{.need = {.milliCores = 1000, .memoryMb = 10},
                                                   .estimate = Millis(100)}}}));
    }
    /// Sends a call about `job` on `queue`.
    ResponsePtr send(Method method, std::uint64_t job, const char *queue = "open",
                     Millis timeLimit = Millis(3000), std::string body = {})
    {
        view.lastContact = monotonicNow();
        view.tableClockMs = 1000;
        auto response = std::make_shared<std::optional<Response>>();
        HttpRequest request(method, std::string("/") + queue + "/" + textOf(JobId{job}), 11);
        request.set(boost::beast::http::field::host, "h");
        request.set(platform::kDeadlineHeader, std::to_string(timeLimit.count()));
        request.set(platform::kApiKeyHeader, kTeamKey);
        request.body() = std::move(body);
        asio::co_spawn(
            io,
            [this, request = std::move(request), response]() mutable -> asio::awaitable<void> {
                const Instant start = monotonicNow();
                Reply reply = co_await api.answer(request);
                *response = Response{std::move(reply),
                                     std::chrono::duration_cast<Millis>(monotonicNow() - start)};
            },
            asio::detached);
        return response;
    }
    void runFor(Millis time)
    {
        io.restart();
        io.run_for(time);
    }
    Response await(const ResponsePtr &response)
    {
        for (int step = 0; step < 400 && !*response; ++step)
            runFor(Millis(10));
        REQUIRE(response->has_value());
        return **response;
    }
    static std::string header(const Reply &reply, const std::string &name)
    {
        for (const auto &[key, text] : reply.headers) {
            if (key == name)
                return text;
        }
        return {};
    }

    const std::uint16_t tablePort = test::freePorts(1);
    asio::io_context io;
    Metrics metrics;
    platform::StandinTable table{io, 1};
    std::shared_ptr<CallerServer> server = std::make_shared<CallerServer>(
        io, CallerLimits{}, [this](HttpRequest &request) { return table.handleRequest(request); },
        metrics);
    platform::TableClient client{io, "127.0.0.1:" + std::to_string(tablePort), metrics};
    FleetView view;
    CallerApi api{io, client, view, metrics, Millis(5000)};
};

} // namespace

TEST_CASE_METHOD(CallerApiTest, "CallerApi_answerOfTheTableIsLost_readsTheRowBeforeTheDeadline",
                 "[node]")
{
    table.setFault({.lostResponseShare = 1});
    const Response response = await(submit(1));
    CHECK(response.reply.status == 200);
    CHECK(response.duration < Millis(3000));
}

TEST_CASE_METHOD(CallerApiTest, "CallerApi_tableGoesSilent_refusesWhatWasNotSentAtOnce", "[node]")
{
    CHECK(await(submit(1)).reply.status == 200);
    table.setFault({.delay = Millis(20000)});
    const ResponsePtr sent = submit(2);
    runFor(Millis(1200));
    const Response refused = await(submit(3));
    CHECK(refused.reply.status == 503);
    CHECK(refused.duration < Millis(200));
    CHECK_FALSE(header(refused.reply, "Retry-After").empty());
    const Response unknown = await(sent);
    CHECK(unknown.reply.status == 504);
    CHECK(unknown.duration > Millis(2500));
    CHECK(unknown.duration < Millis(3000));
    table.setFault({});
    runFor(Millis(400));
    CHECK(await(submit(4)).reply.status == 200);
}

TEST_CASE_METHOD(CallerApiTest, "CallerApi_teamOverItsRateAndRoomShort_refusesItAndNobodyElse",
                 "[node]")
{
    view.report.load = {
        .poolWaits = {{"pool", Millis(2000)}}, .teamRates = {{"team", 20}}, .writtenMs = 1000};
    int refused = 0;
    for (std::uint64_t job = 1; job <= 20; ++job) {
        const Response response = await(submit(job, "teams"));
        if (response.reply.status == 200)
            continue;
        ++refused;
        CHECK(response.reply.status == 429);
        CHECK(response.reply.body == R"({"reason":"team_over_rate"})");
        CHECK_FALSE(header(response.reply, "Retry-After").empty());
    }
    CHECK(refused >= 15);
    CHECK(await(submit(100, "open")).reply.status == 200);
    CHECK(metrics.text().find(R"(team_calls_total{team="team",outcome="team_over_rate"})")
          != std::string::npos);
    view.report.load.poolWaits.clear();
    CHECK(await(submit(101, "teams")).reply.status == 200);
}

TEST_CASE_METHOD(CallerApiTest, "CallerApi_jobCancelledWhileItsWriteIsPending_isNeverStored",
                 "[node]")
{
    // Guards against a job that runs after its cancelling was answered with 410 (review case 3): a
    // write that the table performs late stored the job.
    table.setFault({.delayedEffectShare = 1});
    CHECK(await(submit(1, "open", Millis(600))).reply.status == 504);
    table.setFault({});
    CHECK(await(send(Method::delete_, 1)).reply.status == 410);
    runFor(Millis(5500)); // the table performs a late write within 5 s
    CHECK(await(send(Method::get, 1)).reply.status == 410);
    CHECK(table.rowCount(kJobTable) == 1); // the cancellation
}

TEST_CASE_METHOD(CallerApiTest, "CallerApi_jobSubmittedAfterItWasCancelled_isRefusedAsGone",
                 "[node]")
{
    // Guards against a job that is accepted although its cancelling was acknowledged.
    CHECK(await(send(Method::delete_, 1)).reply.status == 410);
    const Response response = await(submit(1));
    CHECK(response.reply.status == 410);
    CHECK(response.reply.body == R"({"reason":"job_withdrawn"})");
    CHECK(await(send(Method::delete_, 1)).reply.status == 410);
}

TEST_CASE_METHOD(CallerApiTest, "CallerApi_storedJobIsCancelled_isAnsweredAsCancelled", "[node]")
{
    CHECK(await(submit(1)).reply.status == 200);
    CHECK(await(send(Method::delete_, 1)).reply.status == 200);
    const Response response = await(send(Method::get, 1));
    CHECK(response.reply.status == 200);
    CHECK(response.reply.body.find("cancelled") != std::string::npos);
}
