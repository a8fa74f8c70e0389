#include <utility>

#include "../../src/node/memberregistry.h"

#include "../../platform/standin/standintable.h"
#include "../../src/daemon/metrics.h"
#include "../../src/http/callerserver.h"
#include "../../src/node/storednames.h"
#include "../support/freeports.h"

#include "oleanderhall/core/clock.h"

#include <catch2/catch.hpp>

#include <functional>

using namespace oleanderhall;

namespace {

class MemberRegistryTest
{
protected:
    MemberRegistryTest() { server->start("127.0.0.1", tablePort); }

    struct Node
    {
        Node(MemberRegistryTest &test, const std::string &name)
            : self{.id = EntryId(name),
                   .zone = ZoneId("z"),
                   .address = "127.0.0.1:9",
                   .processorCores = 0.5}
            , peers(self)
            , registry(test.io, test.table, self, peers, test.metrics)
        {}

        Peer self;
        PeerList peers;
        MemberRegistry registry;
    };

    /// Runs until `condition` holds; returns false if it doesn't within 4 s.
    bool runUntil(const std::function<bool()> &condition)
    {
        const Instant end = monotonicNow() + Millis(4000);
        while (!condition() && monotonicNow() < end)
            io.run_for(Millis(10));
        return condition();
    }

    /// Returns the ids of the stored rows.
    std::vector<std::string> storedIds()
    {
        std::optional<platform::ReadResult> result;
        table.read(kMemberTable, kMemberPartition, {}, {}, Millis(1000),
                   [&result](platform::ReadResult read) { result = std::move(read); });
        runUntil([&result] { return result.has_value(); });
        std::vector<std::string> ids;
        for (const platform::TableRow &row : result->rows)
            ids.push_back(row.key);
        return ids;
    }

    const std::uint16_t tablePort = test::freePorts(1);
    boost::asio::io_context io{1};
    Metrics metrics;
    platform::StandinTable rows{io, 1};
    std::shared_ptr<CallerServer> server = std::make_shared<CallerServer>(
        io, CallerLimits{}, [this](HttpRequest &request) { return rows.handleRequest(request); },
        metrics);
    platform::TableClient table{io, "127.0.0.1:" + std::to_string(tablePort), metrics};
    Node first{*this, "first"};
    Node second{*this, "second"};
};

} // namespace

TEST_CASE_METHOD(MemberRegistryTest, "MemberRegistry_nodeStarts_findsMembersDespiteDamagedRow",
                 "[peers]")
{
    // Guards against a node that knows no peers because one row is malformed.
    for (const char *damaged :
         {"7", R"({"peer":"nowhere","zone":"z","milliCores":1,"writtenMs":1})"}) {
        platform::Transaction transaction{.partition = kMemberPartition};
        transaction.writes.push_back({kMemberTable, std::string("damaged") + damaged, damaged});
        table.transact(transaction, Millis(1000), [](const platform::TransactionResult &) {});
    }
    first.registry.start();
    REQUIRE(runUntil([this] { return storedIds().size() == 3; }));
    second.registry.start();
    REQUIRE(runUntil([this] { return second.peers.size() == 1; }));
    const auto found = second.peers.choosePeer({}, monotonicNow());
    REQUIRE(found);
    CHECK(found->id == first.self.id);
    CHECK(found->address == first.self.address);
    CHECK(found->processorCores == first.self.processorCores);
}

TEST_CASE_METHOD(MemberRegistryTest, "MemberRegistry_nodeLeaves_itsRowIsDeletedForGood", "[peers]")
{
    // Guards against calls to a node that is shutting down.
    first.registry.start();
    REQUIRE(runUntil([this] { return storedIds().size() == 1; }));
    first.registry.leave();
    REQUIRE(runUntil([this] { return storedIds().empty(); }));
}

TEST_CASE_METHOD(MemberRegistryTest, "MemberRegistry_tableRejectsCalls_triesAgainSlowly", "[peers]")
{
    // Guards against nodes that add to the load of a table that is in trouble.
    rows.setFault({.isUnavailable = true});
    first.registry.start();
    const auto hasCounted = [this](const std::string &line) {
        return metrics.text().find("_" + line + "\n") != std::string::npos;
    };
    REQUIRE(runUntil([&] { return hasCounted("member_registrations_failed_total 1"); }));
    io.run_for(Millis(2500));
    CHECK(hasCounted("table_calls_total 1"));
}
