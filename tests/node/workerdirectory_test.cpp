#include "../../src/node/workerdirectory.h"

#include <catch2/catch.hpp>

using namespace oleanderhall;

namespace {

class WorkerDirectoryTest
{
protected:
    static platform::TableRow row(const std::string &id, const std::string &heartbeat = "1",
                                  const std::string &state = "ready")
    {
        return {.key = id,
                .value = R"({"service":"pool","address":"10.0.0.1:80","zone":"z","state":")" + state
                    + R"(","capacity":{"cpu":16000,"memMb":65536},"labels":["a"],"seq":)"
                    + heartbeat + "}"};
    }
    static TableWatcher::Update snapshot(std::vector<platform::TableRow> rows)
    {
        return {.rows = std::move(rows), .isSnapshot = true};
    }

    WorkerDirectory directory;
};

} // namespace

TEST_CASE_METHOD(WorkerDirectoryTest, "WorkerDirectory_fleetOfManyPages_listsEveryWorker", "[node]")
{
    // Guards against a list that ends after the first page of 500 rows.
    std::vector<platform::TableRow> rows;
    for (int index = 0; index < 1100; ++index)
        rows.push_back(row("w" + std::to_string(index)));
    CHECK(directory.apply(snapshot(std::move(rows))));
    CHECK(directory.workers().size() == 1100);
}

TEST_CASE_METHOD(WorkerDirectoryTest, "WorkerDirectory_heartbeat_changesNothing", "[node]")
{
    directory.apply(snapshot({row("w1")}));
    CHECK_FALSE(directory.apply({.rows = {row("w1", "2")}}));
    CHECK(directory.workers().size() == 1);
}

TEST_CASE_METHOD(WorkerDirectoryTest, "WorkerDirectory_workerDrains_isAChange", "[node]")
{
    directory.apply(snapshot({row("w1")}));
    CHECK(directory.apply({.rows = {row("w1", "2", "draining")}}));
    CHECK(directory.workers().front().isDraining);
}

TEST_CASE_METHOD(WorkerDirectoryTest, "WorkerDirectory_entryDeleted_workerIsGone", "[node]")
{
    directory.apply(snapshot({row("w1"), row("w2")}));
    platform::TableRow deleted{.key = "w1", .isDeleted = true};
    CHECK(directory.apply({.rows = {deleted}}));
    CHECK(directory.workers().size() == 1);
    CHECK_FALSE(directory.apply({.rows = {deleted}}));
}

TEST_CASE_METHOD(WorkerDirectoryTest, "WorkerDirectory_newSnapshot_dropsWorkersThatItLacks",
                 "[node]")
{
    directory.apply(snapshot({row("w1"), row("w2")}));
    CHECK(directory.apply(snapshot({row("w2")})));
    REQUIRE(directory.workers().size() == 1);
    CHECK(directory.workers().front().id == WorkerId("w2"));
}

TEST_CASE_METHOD(WorkerDirectoryTest, "WorkerDirectory_damagedEntry_namesNoWorker", "[node]")
{
    directory.apply(snapshot({row("w1"), row("w2")}));
    CHECK(directory.apply({.rows = {{.key = "w1", .value = "{\"state\":7"}}}));
    CHECK(directory.workers().size() == 1);
}

TEST_CASE_METHOD(WorkerDirectoryTest, "WorkerDirectory_oddEntryOfAnotherWriter_othersAreFollowed",
                 "[node]")
{
    // Guards against a process that ends, or follows the list no longer, because of one entry.
    constexpr std::size_t kDepth = 20000; // a row holds 64 KB
    const std::string nested = std::string(kDepth, '[') + std::string(kDepth, ']');
    const auto with = [](const std::string &from, const std::string &to) {
        std::string entry = row("odd").value;
        return entry.replace(entry.find(from), from.size(), to);
    };
    const std::vector<std::string> entries{nested,
                                           with(R"(["a"])", nested),
                                           with("16000", "1e400"),
                                           with("16000", "123456789012345678901234567890"),
                                           with("10.0.0.1:80", "10.0.0.1:65536"),
                                           with("10.0.0.1:80", "10.0.0.1:99999999999999999999"),
                                           with("10.0.0.1:80", "10.0.0.1:-1"),
                                           with("10.0.0.1:80", "10.0.0.1:0")};
    for (const std::string &entry : entries) {
        directory.apply(snapshot({row("w1"), {.key = "odd", .value = entry}, row("w2")}));
        CHECK(directory.workers().size() == 2);
        directory.apply({.rows = {{.key = "odd", .value = entry}, row("w1", "2", "draining")}});
        CHECK(directory.workers().size() == 2);
        CHECK(directory.workers().front().isDraining);
    }
}
