#include <utility>

#include "../../platform/callermessages.h"
#include "../../platform/standin/standinrows.h"
#include "../../platform/standin/standintable.h"

#include "../../src/node/storednames.h"
#include "../support/forwardingnode.h"

#include <boost/asio/co_spawn.hpp>
#include <catch2/catch.hpp>

#include <optional>

using namespace oleanderhall;
using test::ForwardingNode;
using test::TableMode;

namespace {

constexpr const char *kDeadNode = "127.0.0.1:18109"; // nothing listens there

/// Two fleet nodes with one table, and callers who reach each of them.
class CallForwarderTest
{
protected:
    CallForwarderTest()
    {
        for (ForwardingNode *node : {&first, &second}) {
            node->view.config = config;
            node->view.teams = TeamDirectory(config.teams);
        }
        first.join(second);
        second.join(first);
    }

    HttpResult call(ForwardingNode &node, const std::string &method, const QueueConfig &queue,
                    JobId id, const std::string &key = {})
    {
        HttpCall sent{.method = method,
                      .target = queue.prefix + textOf(id),
                      .headers = {{"Host", queue.host},
                                  {"Content-Type", "application/json"},
                                  {platform::kDeadlineHeader, deadlineMs}},
                      .timeout = Millis(4000),
                      .wantsHeaders = true};
        if (!key.empty())
            sent.headers.emplace_back(platform::kApiKeyHeader, key);
        if (method == "POST")
            sent.body = platform::encodeSubmission(
                {.id = id, .queue = queue, .steps = {{.count = 1}}});
        for (ForwardingNode *known : {&first, &second})
            known->view.lastContact = known->monitor.availability.isAvailable() ? monotonicNow()
                                                                                : Instant();
        std::optional<HttpResult> result;
        node.callers->send(std::move(sent),
                           [&result](HttpResult response) { result = std::move(response); });
        while (!result)
            io.run_one();
        return *result;
    }
    HttpResult post(ForwardingNode &node, JobId id) { return call(node, "POST", open, id); }
    HttpResult get(ForwardingNode &node, JobId id) { return call(node, "GET", open, id); }

    int accepted() const
    {
        return first.counter("jobs_accepted_total") + second.counter("jobs_accepted_total");
    }

    static Peer deadPeer(const std::string &name)
    {
        return {
            .id = EntryId(name), .zone = ZoneId("z9"), .address = kDeadNode, .processorCores = 8};
    }

    std::string deadlineMs = "3000"; ///< How long callers wait.
    boost::asio::io_context io{1};
    platform::StandinTable rows{io, 1};
    RequestHandler serveRows = [this](HttpRequest &request) { return rows.handleRequest(request); };
    const QueueConfig open{.name = "open", .host = "h", .prefix = "/open/"};
    const QueueConfig keyed{.name = "keyed", .host = "h", .prefix = "/keyed/", .isPublic = false};
    const FleetConfig config{.version = {1},
                             .queues = {open, keyed},
                             .teams = {{.id = TeamId("t"), .keys = {digestOf("good")}}}};
    ForwardingNode first{io, "first", "z0", serveRows};
    ForwardingNode second{io, "second", "z1", serveRows};
};

} // namespace

TEST_CASE_METHOD(CallForwarderTest, "CallForwarder_tableTurnsNodeAway_peerHandlesEachCall",
                 "[forwarding]")
{
    // Guards against a third of the nodes refusing every call while the table serves the others.
    first.turnAway(GENERATE(TableMode::Unavailable, TableMode::TooManyRequests, TableMode::Reset,
                            TableMode::Silent));
    CHECK(post(first, {1}).status == 200);
    CHECK(post(first, {1}).status == 200);
    CHECK(accepted() == 1);
    CHECK(second.counter("jobs_accepted_again_total") == 1);
    CHECK(get(first, {1}).body.find("queued") != std::string::npos);
    CHECK(call(first, "DELETE", open, {1}).status == 200);
    CHECK(get(second, {1}).body.find("cancelled") != std::string::npos);
    CHECK(get(first, {2}).status == 410);
    CHECK(first.counter("calls_forwarded_no_table_answered_total") == 5);
}

TEST_CASE_METHOD(CallForwarderTest, "CallForwarder_tableBeginsToReject_waitingJobIsHandedOff",
                 "[forwarding]")
{
    // Guards against jobs that wait until their deadline at a node that has just lost the table.
    first.tableMode = TableMode::Unavailable;
    CHECK(post(first, {1}).status == 200);
    CHECK(second.counter("jobs_accepted_total") == 1);
    CHECK(accepted() == 1);
}

TEST_CASE_METHOD(CallForwarderTest, "CallForwarder_jobMayBeStored_isNotHandedOff", "[forwarding]")
{
    // Guards against a job whose first transaction takes effect after another node was asked: the
    // caller would get a 503 of that node for a job that runs.
    deadlineMs = "900";
    first.tableMode = TableMode::Reset;
    boost::asio::steady_timer timer(io, Millis(150));
    timer.async_wait(
        [this](const boost::system::error_code &) { first.tableMode = TableMode::Unavailable; });
    CHECK(post(first, {1}).status == 504);
    CHECK(second.counter("peer_calls_total") == 0);
}

TEST_CASE_METHOD(CallForwarderTest, "CallForwarder_tableServesNode_forwardsNothing", "[forwarding]")
{
    for (std::uint64_t id = 1; id <= 40; ++id)
        CHECK(post(first, {id}).status == 200);
    CHECK(second.counter("peer_calls_total") == 0);
    CHECK(first.counter("jobs_accepted_total") == 40);
}

TEST_CASE_METHOD(CallForwarderTest, "CallForwarder_forwardedCall_hasLessTime", "[forwarding]")
{
    // Guards against an answer of the peer that comes after the caller has given up.
    first.turnAway();
    post(first, {1});
    CHECK(second.lastPeerDeadlineMs < 3000);
    CHECK(second.lastPeerDeadlineMs > 2000);
}

TEST_CASE_METHOD(CallForwarderTest, "CallForwarder_peerIsDown_otherPeerHandlesCall", "[forwarding]")
{
    // Guards against refused calls for a peer that has terminated since the list was read.
    first.peers.update({deadPeer("dead"), second.peer}, 0);
    first.turnAway();
    CHECK(post(first, {1}).status == 200);
    CHECK(first.counter("calls_forwarded_no_table_not_sent_total") == 1);
    CHECK(accepted() == 1);
}

TEST_CASE_METHOD(CallForwarderTest, "CallForwarder_allPeersAreDown_refusesAfterTwo", "[forwarding]")
{
    // Guards against a 503 for a job that was stored, and against a caller who waits for all peers.
    first.peers.update({deadPeer("a"), deadPeer("b"), deadPeer("c")}, 0);
    first.turnAway();
    CHECK(post(first, {1}).status == 503);
    CHECK(first.counter("calls_forwarded_no_table_not_sent_total") == 2);
    first.tableMode = TableMode::Serve;
    first.monitor.availability.onExecuted();
    CHECK(get(first, {1}).status == 410);
}

TEST_CASE_METHOD(CallForwarderTest, "CallForwarder_answerIsLost_postIsUnknownAndRepeatable",
                 "[forwarding]")
{
    // Guards against a 503 for a job that the peer has stored, and against a job that runs twice.
    first.turnAway();
    second.losesAnswers = true;
    const HttpResult lost = post(first, {1});
    CHECK(lost.status == 504);
    CHECK(lost.body.find("outcome_unknown") != std::string::npos);
    second.losesAnswers = false;
    first.join(); // ends the pause of the peer
    first.join(second);
    CHECK(post(first, {1}).status == 200);
    CHECK(accepted() == 1);
}

TEST_CASE_METHOD(CallForwarderTest, "CallForwarder_answerIsLost_otherCallsAreRefused",
                 "[forwarding]")
{
    const std::string method = GENERATE("GET", "DELETE");
    first.turnAway();
    second.losesAnswers = true;
    CHECK(call(first, method, open, {1}).status == 503);
}

TEST_CASE_METHOD(CallForwarderTest, "CallForwarder_nobodyHasTable_refusesWithoutLoop",
                 "[forwarding]")
{
    // Guards against calls that nodes without the table pass to each other in a circle.
    first.turnAway();
    second.turnAway();
    const HttpResult refused = post(first, {1});
    CHECK(refused.status == 503);
    CHECK(second.counter("peer_calls_total") == 1);
    CHECK(second.counter("job_refusals_peer_without_table_total") == 1);
    CHECK(first.counter("peer_calls_total") == 0);
    // The peer is not asked again at once.
    CHECK(post(first, {2}).status == 503);
    CHECK(second.counter("peer_calls_total") == 1);
}

TEST_CASE_METHOD(CallForwarderTest, "CallForwarder_peerLosesTable_callIsNotFinallyRefused",
                 "[forwarding]")
{
    // Guards against the final refusal of a call by a peer that has not noticed yet that the table
    // rejects it, while a third node could serve the call.
    first.turnAway();
    second.tableMode = TableMode::Unavailable;
    CHECK(post(first, {1}).status == 503);
    CHECK(second.counter("job_refusals_table_refused_total") == 1);
    CHECK(first.counter("calls_forwarded_no_table_refused_total") == 1);
    CHECK(first.counter("calls_forwarded_no_table_answered_total") == 0);
}

TEST_CASE_METHOD(CallForwarderTest, "CallForwarder_staleConfiguration_peerChecksKey",
                 "[forwarding]")
{
    // Guards against a node that admits a withdrawn key because it can't read the withdrawal.
    first.view.accessLease = AccessLease(Millis(5000));
    CHECK(call(first, "POST", keyed, {1}, "good").status == 200);
    CHECK(second.counter("jobs_accepted_total") == 1);
    second.view.teams = TeamDirectory();
    CHECK(call(first, "POST", keyed, {2}, "good").status == 401);
    CHECK(call(first, "GET", keyed, {1}, "good").status == 401);
    first.join();
    CHECK(call(first, "POST", keyed, {2}, "good").status == 503);
    CHECK(first.counter("job_refusals_configuration_stale_total") == 1);
    CHECK(accepted() == 1);
}

TEST_CASE_METHOD(CallForwarderTest, "CallForwarder_unknownKey_isRefusedWithoutPeer", "[forwarding]")
{
    // Guards against callers without a key who occupy the limited calls between nodes.
    first.turnAway();
    CHECK(call(first, "POST", keyed, {1}, "bad").status == 401);
    CHECK(call(first, "POST", keyed, {1}).status == 401);
    CHECK(second.counter("peer_calls_total") == 0);
}

TEST_CASE_METHOD(CallForwarderTest, "CallForwarder_manyForwardedCalls_refusesThemFirst",
                 "[forwarding]")
{
    // Guards against other nodes' calls that take the place of this node's callers.
    boost::asio::steady_timer release(io, std::chrono::hours(1));
    CallForwarder busy(io, second.view, second.peers, second.monitor, second.metrics,
                       [&release](HttpRequest &request) -> boost::asio::awaitable<Reply> {
                           if (request.target() == "/open/0000000000000001")
                               co_await release.async_wait(boost::asio::use_awaitable);
                           co_return Reply{.status = 200};
                       });
    const auto makeRequest = [](const char *target) {
        HttpRequest request(boost::beast::http::verb::get, target, 11);
        request.set("Host", "h");
        return request;
    };
    std::vector<int> statuses;
    const auto record = [&statuses](const std::exception_ptr &failed, const Reply &reply) {
        statuses.push_back(failed ? 0 : reply.status);
    };
    second.view.lastContact = monotonicNow();
    constexpr int kCalls = 300;
    std::vector<HttpRequest> requests(kCalls, makeRequest("/open/0000000000000001"));
    for (HttpRequest &request : requests)
        boost::asio::co_spawn(io, busy.answerPeer(request), record);
    io.poll();
    CHECK(statuses == std::vector<int>(kCalls - 256, 503));
    CHECK(second.counter("job_refusals_peer_busy_total") == kCalls - 256);
    HttpRequest ofCaller = makeRequest("/open/0000000000000002");
    boost::asio::co_spawn(io, busy.answer(ofCaller), record);
    io.poll();
    CHECK(statuses.back() == 200);
    release.cancel();
    io.poll();
    CHECK(statuses.size() == kCalls + 1);
}

TEST_CASE_METHOD(CallForwarderTest, "CallForwarder_slowTable_writerStoresTheJobsOfItsPartition",
                 "[forwarding][slowtable]")
{
    // Guards against every node writing small batches to each partition of a slow table.
    for (ForwardingNode *node : {&first, &second}) {
        for (int count = 0; count < TableSpeed::kSlowToEnter; ++count)
            node->monitor.speed.onReported(Millis(200), monotonicNow());
    }
    rows.setFault({.delay = Millis(177)});
    for (std::uint64_t id = 1; id <= 8; ++id) {
        ForwardingNode
            &writer = first.peers.writerOf(jobPartitionName(jobPartition({id})), monotonicNow()).id
                == first.peer.id
            ? first
            : second;
        const int before = writer.counter("jobs_accepted_total");
        CHECK(post(first, {id}).status == 200);
        CHECK(writer.counter("jobs_accepted_total") == before + 1);
    }
    CHECK(accepted() == 8);
    CHECK(second.counter("peer_calls_total") > 0);
    CHECK(first.counter("peer_calls_total") == 0);
}

TEST_CASE_METHOD(CallForwarderTest, "CallForwarder_slowTableWithoutWriter_nodeStoresItself",
                 "[forwarding][slowtable]")
{
    first.peers.update({deadPeer("dead")}, 0);
    for (int count = 0; count < TableSpeed::kSlowToEnter; ++count)
        first.monitor.speed.onReported(Millis(200), monotonicNow());
    CHECK(post(first, {1}).status == 200);
    CHECK(first.counter("calls_forwarded_slow_table_not_sent_total") == 1);
    CHECK(first.counter("jobs_accepted_total") == 1);
}

TEST_CASE_METHOD(CallForwarderTest, "CallForwarder_tableIsFastAgain_stopsForwarding",
                 "[forwarding][slowtable]")
{
    // Guards against a node that forwards for ever because it has no transactions of its own.
    first.peers.update({[this] {
                           Peer large = second.peer;
                           large.processorCores = 8;
                           return large;
                       }()},
                       0);
    for (int count = 0; count < TableSpeed::kSlowToEnter; ++count)
        first.monitor.speed.onReported(Millis(200), monotonicNow());
    for (std::uint64_t id = 1; id <= 10; ++id)
        CHECK(post(first, {id}).status == 200);
    CHECK(second.counter("peer_calls_total") == TableSpeed::kFastToLeave);
    CHECK(first.counter("jobs_accepted_total") == 10 - TableSpeed::kFastToLeave);
}
