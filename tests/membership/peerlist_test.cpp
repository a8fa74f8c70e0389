#include "oleanderhall/membership/peerlist.h"

#include "oleanderhall/core/errors.h"

#include <catch2/catch.hpp>

#include <map>
#include <set>

using namespace oleanderhall;

namespace {

constexpr double kSmall = 0.12;
constexpr double kLarge = 0.5;
constexpr std::int64_t kTableMs = 7200000;

Peer peer(const std::string &id, const std::string &zone, double cores = kSmall,
          std::int64_t writtenMs = kTableMs)
{
    return {.id = EntryId(id),
            .zone = ZoneId(zone),
            .address = "127.0.0.1:1",
            .processorCores = cores,
            .writtenMs = writtenMs};
}

class PeerListTest
{
protected:
    /// Adds `count` nodes in three zones, of which every fifth is large.
    void fill(int count)
    {
        std::vector<Peer> rows;
        for (int index = 0; index < count; ++index)
            rows.push_back(peer("n" + std::to_string(index), "z" + std::to_string(index % 3),
                                index % 5 == 0 ? kLarge : kSmall));
        list.update(rows, kTableMs);
    }

    std::string choose(const std::vector<Peer> &tried = {})
    {
        const auto chosen = list.choosePeer(tried, now);
        return chosen ? chosen->id.name() : "";
    }

    void fail(const Peer &failed, PeerResult result)
    {
        list.onSent(failed.id);
        list.onEnded(failed.id, result, now);
    }

    Instant now{std::chrono::hours(1)};
    PeerList list{peer("self", "z0")};
};

} // namespace

TEST_CASE_METHOD(PeerListTest, "PeerList_rowOfGoneNode_isNotChosenAndLaterDeleted", "[peers]")
{
    // Guards against calls to nodes that were replaced long ago, whose rows nobody removes.
    const std::int64_t gone = kTableMs - PeerList::kRowLifetime.count() - 1;
    const std::int64_t longAgo = kTableMs - PeerList::kRowRetention.count() - 1;
    list.update(
        {peer("self", "z0"), peer("a", "z1", kLarge, gone), peer("b", "z1", kLarge, longAgo)},
        kTableMs);
    CHECK(choose().empty());
    CHECK(list.expired() == std::vector{EntryId("b")});
    list.update({peer("a", "z1")}, kTableMs);
    CHECK(choose() == "a");
    CHECK(list.expired().empty());
}

TEST_CASE_METHOD(PeerListTest, "PeerList_rowFromTheFuture_isNotChosen", "[peers]")
{
    // Guards against rows that were written before the table's clock started again: they would
    // never age.
    list.update({peer("a", "z1", kLarge, kTableMs + 60000)}, kTableMs);
    CHECK(choose().empty());
}

TEST_CASE_METHOD(PeerListTest, "PeerList_peerFailed_isPausedThenGetsOneCallUntilItAnswers",
                 "[peers]")
{
    // Guards against many calls that wait for a peer that is frozen or cut off.
    const Peer only = peer("a", "z1");
    list.update({only}, kTableMs);
    const auto result = GENERATE(PeerResult::NotSent, PeerResult::Refused, PeerResult::Lost);
    fail(only, result);
    CHECK(choose().empty());
    now += Millis(900);
    CHECK(choose().empty());
    now += Millis(7100);
    CHECK(choose() == "a");
    list.onSent(only.id);
    CHECK(choose().empty());
    list.onEnded(only.id, PeerResult::Answered, now);
    list.onSent(only.id);
    CHECK(choose() == "a");
}

TEST_CASE_METHOD(PeerListTest, "PeerList_listReadAgain_keepsFailuresAndCallsInFlight", "[peers]")
{
    const Peer only = peer("a", "z1");
    list.update({only}, kTableMs);
    fail(only, PeerResult::Lost);
    list.update({only}, kTableMs + 1000);
    CHECK(choose().empty());
    // A node that was started again at another address is another process.
    Peer moved = only;
    moved.address = "127.0.0.1:2";
    list.update({moved}, kTableMs + 2000);
    CHECK(choose() == "a");
}

TEST_CASE_METHOD(PeerListTest, "PeerList_secondTry_goesToAnotherZone", "[peers]")
{
    // Guards against both attempts into a zone that is cut off.
    list.update({peer("a", "z1", kLarge), peer("b", "z1", kLarge), peer("c", "z2", kSmall)},
                kTableMs);
    CHECK(choose({peer("a", "z1")}) == "c");
    CHECK(choose({peer("a", "z1"), peer("c", "z2")}) == "b");
}

TEST_CASE_METHOD(PeerListTest, "PeerList_manyCalls_areSpreadByProcessorShare", "[peers]")
{
    // Guards against the load of all rejected nodes on one peer.
    fill(20);
    std::map<double, int> callsByCores;
    constexpr int kCalls = 100;
    for (int count = 0; count < kCalls; ++count) {
        const auto chosen = list.choosePeer({}, now);
        REQUIRE(chosen);
        list.onSent(chosen->id);
        ++callsByCores[chosen->processorCores];
    }
    // 4 large and 16 small ones.
    CHECK(callsByCores[kLarge] >= 40);
    CHECK(callsByCores[kLarge] <= 4 * PeerList::kMaxCallsPerPeer);
    CHECK(callsByCores[kSmall] >= 30);
}

TEST_CASE_METHOD(PeerListTest, "PeerList_manyCallsInFlight_areBoundedPerPeer", "[peers]")
{
    list.update({peer("a", "z1")}, kTableMs);
    for (int count = 0; count < PeerList::kMaxCallsPerPeer; ++count) {
        REQUIRE(choose() == "a");
        list.onSent(EntryId("a"));
    }
    CHECK(choose().empty());
}

TEST_CASE_METHOD(PeerListTest, "PeerList_147nodes_agreeOnLargeWriters", "[peers]")
{
    constexpr int kNodes = 147;
    std::vector<Peer> rows;
    for (int index = 0; index < kNodes; ++index)
        rows.push_back(peer("n" + std::to_string(index), "z", index % 5 == 0 ? kLarge : kSmall));
    for (const std::string partition : {"jobs-0", "jobs-1", "jobs-2", "jobs-3"}) {
        std::set<EntryId> writers;
        for (const Peer &self : rows) {
            PeerList view(self);
            view.update(rows, kTableMs);
            const Peer writer = view.writerOf(partition, now);
            CHECK(writer.processorCores == kLarge);
            writers.insert(writer.id);
        }
        CHECK(writers.size() == 1);
    }
}

TEST_CASE_METHOD(PeerListTest, "PeerList_writerFailed_anotherNodeWritesUntilItsPauseEnds",
                 "[peers]")
{
    fill(20);
    const Peer writer = list.writerOf("jobs-0", now);
    fail(writer, PeerResult::NotSent);
    const Peer second = list.writerOf("jobs-0", now);
    CHECK(second.id != writer.id);
    CHECK(second.processorCores == kLarge);
    now += Millis(8000);
    CHECK(list.writerOf("jobs-0", now).id == writer.id);
}

TEST_CASE_METHOD(PeerListTest, "PeerList_allLargeNodesFailed_aSmallOneWrites", "[peers]")
{
    fill(20);
    for (int index = 0; index < 20; index += 5)
        fail(peer("n" + std::to_string(index), "z"), PeerResult::Lost);
    CHECK(list.writerOf("jobs-0", now).processorCores == kSmall);
}

TEST_CASE_METHOD(PeerListTest, "PeerList_noOtherMember_thisNodeWrites", "[peers]")
{
    CHECK(list.writerOf("jobs-0", now).id == list.self());
    CHECK(choose().empty());
}

TEST_CASE("Peer_encoded_isDecodedAgain", "[peers]")
{
    const Peer original = peer("a", "z1", kLarge);
    CHECK(parsePeer("a", encodePeer(original)) == original);
}

TEST_CASE("Peer_malformedRow_isRejected", "[peers]")
{
    for (const char *text : {"", "7", "{}", R"({"peer":7,"zone":"z","milliCores":1,"writtenMs":1})",
                             R"({"peer":"a:1","zone":"z","milliCores":-1,"writtenMs":1})"})
        CHECK_THROWS_AS(parsePeer("a", text), InvalidDocument);
}
