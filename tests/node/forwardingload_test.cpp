#include <utility>

#include "../../platform/callermessages.h"
#include "../../platform/standin/standinrows.h"
#include "../../platform/standin/standintable.h"
#include "../../src/node/storednames.h"
#include "../../src/node/tablewatcher.h"
#include "../support/forwardingnode.h"

#include <catch2/catch.hpp>

#include <map>

using namespace oleanderhall;
using test::ForwardingNode;
using test::TableMode;

namespace {

constexpr int kNodes = 29;
constexpr int kLargeEvery = 5; // every fifth node has 0.5 cores, the others 0.12
constexpr int kJobsPerSecond = 200;

/// 29 fleet nodes with one table, and callers who submit jobs to all of them.
class ForwardingLoadTest
{
protected:
    ForwardingLoadTest()
    {
        std::vector<Peer> members;
        for (int index = 0; index < kNodes; ++index) {
            nodes.push_back(std::make_unique<ForwardingNode>(
                io, "n" + std::to_string(index), "z" + std::to_string(index % 3),
                [this](HttpRequest &request) { return rows.handleRequest(request); }));
            nodes.back()->peer.processorCores = index % kLargeEvery == 0 ? 0.5 : 0.12;
            members.push_back(nodes.back()->peer);
        }
        for (const auto &node : nodes) {
            node->view.config = FleetConfig{.version = {1}, .queues = {queue}};
            node->peers = PeerList(node->peer);
            node->peers.update(members, 0);
            auto watcher = std::make_shared<TableWatcher>(
                io, node->table,
                TableWatcher::Source{.table = kControlTable, .partitions = {kControlPartition}},
                [&node](const TableWatcher::Update &update) {
                    node->view.lastContact = std::max(node->view.lastContact, update.sentAt);
                });
            watcher->start();
            watchers.push_back(std::move(watcher));
        }
    }

    void submit(std::uint64_t number)
    {
        constexpr std::uint64_t kSpread = 0x9e3779b97f4a7c15; // distributes ids over partitions
        const JobId id{number * kSpread};
        ForwardingNode &node = *nodes[number * 7 % kNodes];
        HttpCall call{
            .method = "POST",
            .target = queue.prefix + textOf(id),
            .headers = {{"Host", queue.host}, {platform::kDeadlineHeader, "3000"}},
            .body = platform::encodeSubmission({.id = id, .queue = queue, .steps = {{.count = 1}}}),
            .timeout = Millis(3500)};
        node.callers->send(std::move(call), [this](const HttpResult &result) {
            ++answers;
            ++byStatus[result.status];
        });
    }

    /// Submits jobs at an even rate and waits for all answers. Returns the number of jobs.
    int runLoad(int seconds)
    {
        const Instant start = monotonicNow();
        const int jobs = kJobsPerSecond * seconds;
        int submitted = 0;
        while (answers < jobs) {
            const auto elapsed = std::chrono::duration_cast<Millis>(monotonicNow() - start);
            while (submitted < jobs && elapsed.count() * kJobsPerSecond >= 1000L * submitted)
                submit(static_cast<std::uint64_t>(++submitted));
            io.run_for(Millis(5));
        }
        return jobs;
    }

    /// Returns the number of jobs in the table, whichever node was told so.
    std::ptrdiff_t stored() const { return rows.rowCount(kProgressTable); }
    std::string figures()
    {
        return "200: " + std::to_string(byStatus[200]) + ", 503: " + std::to_string(byStatus[503])
            + ", 504: " + std::to_string(byStatus[504]) + ", unanswered: "
            + std::to_string(byStatus[0]) + ", stored: " + std::to_string(stored());
    }

    boost::asio::io_context io{1};
    platform::StandinTable rows{io, 1};
    const QueueConfig queue{.name = "q", .host = "h", .prefix = "/q/"};
    std::vector<std::unique_ptr<ForwardingNode>> nodes;
    std::vector<std::shared_ptr<TableWatcher>> watchers;
    std::map<int, int> byStatus;
    int answers = 0;
};

} // namespace

TEST_CASE_METHOD(ForwardingLoadTest, "SlowTable_manyNodesWithFewJobsEach_mostJobsAreStored",
                 "[slowtable]")
{
    // Guards against 29 nodes that fill the partitions' queues with transactions of one to three
    // jobs: a fifth of the jobs was stored, and most other outcomes were unknown. The table takes
    // 60 times its usual 3 ms, one transaction of a partition after another, and answers 429 when
    // more than one second of them is waiting.
    rows.setFault({.delay = Millis(177), .longestQueue = Millis(1000)});
    const int jobs = runLoad(5);
    INFO(figures());
    CHECK(byStatus[200] >= jobs * 8 / 10);
    CHECK(byStatus[504] <= jobs / 20);
    CHECK(stored() >= byStatus[200]);
    CHECK(stored() <= byStatus[200] + byStatus[504] + byStatus[0]);
}

TEST_CASE_METHOD(ForwardingLoadTest, "RejectedThird_tableServesTheOthers_mostJobsAreStored",
                 "[forwarding]")
{
    // Guards against a third of the nodes refusing their callers while the table serves the others.
    const auto mode = GENERATE(TableMode::Unavailable, TableMode::TooManyRequests, TableMode::Reset,
                               TableMode::Silent);
    boost::asio::steady_timer onset(io, Millis(500));
    onset.async_wait([&](const boost::system::error_code &) {
        for (std::size_t index = 0; index < nodes.size(); index += 3)
            nodes[index]->tableMode = mode;
    });
    const int jobs = runLoad(3);
    INFO(figures());
    CHECK(byStatus[200] >= jobs * 9 / 10);
    // Jobs of transactions that were reset or not answered at the onset stay unknown.
    CHECK(byStatus[504] <= jobs / 20);
    CHECK(stored() >= byStatus[200]);
    CHECK(stored() <= byStatus[200] + byStatus[504] + byStatus[0]);
}
