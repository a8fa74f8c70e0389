#include "oleanderhall/routing/claimstore.h"

#include "../support/memorytable.h"

#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

using namespace oleanderhall;
using test::MemoryTable;
using test::WriteFault;

namespace {

class MockTable
{
public:
    MAKE_MOCK2(transact, void(const std::vector<TableWrite> &, const std::string &));
    MAKE_MOCK1(read, std::optional<TableItem>(const TableKey &));
    MAKE_MOCK1(query, TablePage(const TableQuery &));
};

class ClaimStoreTest
{
protected:
    MemoryTable table;
    ClaimStore<MemoryTable> store{table};
    int tokens = 0;

    ClaimRequest request(const std::string &key, const std::string &hash = "hash")
    {
        return {{"claim-s", key}, hash, "token" + std::to_string(++tokens)};
    }

    ClaimOutcome claimOne(const ClaimRequest &request) { return store.claim({request}).front(); }

    static RefusalReason reasonOf(const ClaimOutcome &outcome)
    {
        return std::get<Refusal>(outcome).reason;
    }
};

} // namespace

TEST_CASE_METHOD(ClaimStoreTest, "ClaimStore: a key claimed twice: the second is a duplicate")
{
    CHECK(std::holds_alternative<ClaimHandle>(claimOne(request("k"))));
    const ClaimOutcome second = claimOne(request("k"));
    CHECK(reasonOf(second) == RefusalReason::DuplicateInProgress);
    CHECK(std::get<Refusal>(second).execution == ExecutionStatus::Unknown);
}

TEST_CASE_METHOD(ClaimStoreTest, "ClaimStore: a key with another body: is refused")
{
    claimOne(request("k", "one"));
    CHECK(reasonOf(claimOne(request("k", "two"))) == RefusalReason::IdempotencyKeyReused);
}

TEST_CASE_METHOD(ClaimStoreTest, "ClaimStore: a finished request: its answer is replayed")
{
    const auto handle = std::get<ClaimHandle>(claimOne(request("k")));
    ClaimRecord record = handle.record;
    record.state = ClaimState::Done;
    record.status = 201;
    record.body = "the answer";
    record.hasStoredBody = true;
    CHECK(store.recordOutcome(handle, record));
    CHECK(std::get<ReplayedResponse>(claimOne(request("k"))).body == "the answer");
}

TEST_CASE_METHOD(ClaimStoreTest, "ClaimStore: a released key: may be claimed again")
{
    const auto handle = std::get<ClaimHandle>(claimOne(request("k")));
    ClaimRecord record = handle.record;
    record.state = ClaimState::Released;
    CHECK(store.recordOutcome(handle, record));
    CHECK(std::holds_alternative<ClaimHandle>(claimOne(request("k"))));
}

TEST_CASE_METHOD(ClaimStoreTest, "ClaimStore: one duplicate in a batch: the others are claimed")
{
    claimOne(request("b"));
    const auto outcomes = store.claim({request("a"), request("b"), request("c")});
    CHECK(std::holds_alternative<ClaimHandle>(outcomes[0]));
    CHECK(reasonOf(outcomes[1]) == RefusalReason::DuplicateInProgress);
    CHECK(std::holds_alternative<ClaimHandle>(outcomes[2]));
}

TEST_CASE_METHOD(ClaimStoreTest, "ClaimStore: the answer is lost, the claim was taken: it is held")
{
    table.faults = {WriteFault::ResponseLost};
    CHECK(std::holds_alternative<ClaimHandle>(claimOne(request("k"))));
}

TEST_CASE_METHOD(ClaimStoreTest, "ClaimStore: a claim that lands late: is refused, then released")
{
    table.faults = {WriteFault::DelayedEffect};
    const ClaimRequest late = request("k");
    CHECK(reasonOf(claimOne(late)) == RefusalReason::ClaimsUnavailable);
    CHECK_FALSE(store.releaseIfHeld(late));
    table.applyDelayedWrites();
    CHECK(store.releaseIfHeld(late));
    CHECK(std::holds_alternative<ClaimHandle>(claimOne(request("k"))));
}

TEST_CASE("ClaimStore: the table is down: refused as not run, and nothing is read")
{
    MockTable table;
    ClaimStore<MockTable> store(table);
    REQUIRE_CALL(table, transact(trompeloeil::_, trompeloeil::_))
        .THROW(PlatformUnavailable("down"));
    FORBID_CALL(table, read(trompeloeil::_));
    const auto outcome = store.claim({{{"claim-s", "k"}, "hash", "token"}}).front();
    CHECK(std::get<Refusal>(outcome)
          == Refusal{RefusalReason::ClaimsUnavailable, ExecutionStatus::NotExecuted, Millis(1000)});
}

TEST_CASE("ClaimStore: callers retry through several entry hosts under faults: a key runs once")
{
    rc::prop("at most one run for each key, and 'not run' is true", [] {
        MemoryTable table;
        ClaimStore<MemoryTable> store(table);
        std::map<std::string, int> runs;
        std::vector<ClaimRequest> refused;
        const int steps = *rc::gen::inRange(1, 60);
        for (int step = 0; step < steps; ++step) {
            const auto faults = *rc::gen::container<std::deque<WriteFault>>(
                2,
                rc::gen::element(WriteFault::None, WriteFault::None, WriteFault::ResponseLost,
                                 WriteFault::DelayedEffect, WriteFault::Unavailable));
            table.faults = faults;
            table.readsFail = *rc::gen::inRange(0, 6) == 0;
            std::vector<ClaimRequest> batch;
            for (const std::string key : {"k0", "k1", "k2"}) {
                if (*rc::gen::inRange(0, 2) == 0)
                    batch.push_back({{"claim-s", key}, "hash", key + "-" + std::to_string(step)});
            }
            if (batch.empty())
                continue;
            const auto outcomes = store.claim(batch);
            table.readsFail = false;
            for (std::size_t index = 0; index < batch.size(); ++index) {
                const auto *handle = std::get_if<ClaimHandle>(&outcomes[index]);
                if (!handle) {
                    refused.push_back(batch[index]);
                    continue;
                }
                // The holder crashes after it has sent the request (0), releases the claim before
                // it sends the request (1), or sends it and records the outcome (2).
                const int holderAction = *rc::gen::inRange(0, 3);
                ClaimRecord record = handle->record;
                record.state = holderAction == 1 ? ClaimState::Released : ClaimState::Done;
                runs[batch[index].key.row] += holderAction == 1 ? 0 : 1;
                if (holderAction != 0)
                    store.recordOutcome(*handle, record);
            }
            if (*rc::gen::inRange(0, 3) == 0)
                table.applyDelayedWrites();
            for (const ClaimRequest &request : refused)
                store.releaseIfHeld(request);
            refused.clear();
        }
        for (const auto &[key, count] : runs)
            RC_ASSERT(count <= 1);
    });
}
