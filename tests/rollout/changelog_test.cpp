#include "oleanderhall/rollout/changelog.h"

#include "../support/memorytable.h"
#include "../support/registers.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

using namespace oleanderhall;
using test::MemoryStore;
using test::MemoryTable;
using test::WriteFault;

namespace {

class ChangeLogTest
{
protected:
    MemoryTable table;
    MemoryStore store;
    ChangeLog<MemoryTable, MemoryStore> log{table, store};
    int operations = 0;

    LogEntry entryAfter(const LogHead &head, std::vector<Change> changes)
    {
        return {.sequence = head.sequence.next(),
                .actor = EntryId("e"),
                .operation = "op" + std::to_string(++operations),
                .reason = "test",
                .changes = std::move(changes)};
    }

    static std::vector<Change> hostChange(const std::string &host)
    {
        return {HostChange{{.id = HostId(host), .pool = PoolId("a")}}};
    }

    AppendOutcome append(LogHead &head, std::vector<Change> changes, const Register &after = {})
    {
        return log.append(entryAfter(head, std::move(changes)), after, head);
    }
};

} // namespace

TEST_CASE_METHOD(ChangeLogTest, "ChangeLog: two entries on the same head: the second is a conflict")
{
    LogHead first = log.readHead();
    LogHead second = first;
    CHECK(append(first, hostChange("h1")) == AppendOutcome::Committed);
    CHECK(append(second, hostChange("h2")) == AppendOutcome::Conflict);
    CHECK(log.readAfter({}, 10).size() == 1);
}

TEST_CASE_METHOD(ChangeLogTest,
                 "ChangeLog: the answer of an append is lost: it counts as committed")
{
    LogHead head = log.readHead();
    table.faults = {WriteFault::ResponseLost};
    CHECK(append(head, hostChange("h1")) == AppendOutcome::Committed);
    CHECK(head.sequence == Sequence{1});
}

TEST_CASE_METHOD(ChangeLogTest, "ChangeLog: a late append after another one: never takes effect")
{
    LogHead head = log.readHead();
    LogHead other = head;
    table.faults = {WriteFault::DelayedEffect};
    CHECK(append(head, hostChange("late")) == AppendOutcome::Unknown);
    CHECK(append(other, hostChange("other")) == AppendOutcome::Committed);
    table.applyDelayedWrites();
    const FleetState state = log.load();
    CHECK(state.record(HostId("late")) == nullptr);
    CHECK(state.record(HostId("other")) != nullptr);
}

TEST_CASE_METHOD(ChangeLogTest, "ChangeLog: an entry that can't be read back: nothing is written")
{
    LogHead head = log.readHead();
    LogEntry entry = entryAfter(head, hostChange("h1"));
    entry.reason = std::string(100000, 'x');
    CHECK_THROWS_AS(log.append(entry, {}, head), InvalidDocument);
    CHECK(log.readHead().sequence == Sequence{0});
}

TEST_CASE_METHOD(ChangeLogTest,
                 "ChangeLog: a configuration too large for a row: is read back whole")
{
    Register large = test::smallRegister();
    for (int index = 0; index < 3000; ++index) {
        HostSpec spec = large.hosts.begin()->second;
        spec.id = HostId("extra" + std::to_string(index));
        spec.address = "10.0." + std::to_string(index / 250) + "." + std::to_string(index % 250);
        large.hosts.emplace(spec.id, spec);
    }
    LogHead head = log.readHead();
    const std::vector<Change> changes{ConfigChange{{1}, difference(Register{}, large)}};
    CHECK(append(head, changes, large) == AppendOutcome::Committed);
    CHECK(log.load().config() == large);
    FleetState rebuilt;
    CHECK(rebuilt.apply(log.readAfter({}, 1).at(0)));
    CHECK(rebuilt.config() == large);
}

TEST_CASE_METHOD(ChangeLogTest,
                 "ChangeLog: any history with faults: a loaded state is the replayed one")
{
    rc::prop("load() equals a replay of the log, and versions only grow", [] {
        MemoryTable table;
        MemoryStore store;
        ChangeLog<MemoryTable, MemoryStore> log(table, store);
        Register config = test::smallRegister();
        LogHead head;
        FleetState replayed;
        int operation = 0;
        const int steps = *rc::gen::inRange(1, 80);
        for (int step = 0; step < steps; ++step) {
            const auto fault = *rc::gen::element(WriteFault::None, WriteFault::None,
                                                 WriteFault::ResponseLost,
                                                 WriteFault::DelayedEffect, WriteFault::Unavailable,
                                                 WriteFault::UnknownWithoutEffect);
            table.faults = {fault};
            head = log.readHead();
            for (const LogEntry &entry : log.readAfter(replayed.sequence(), 1000))
                RC_ASSERT(replayed.apply(entry));
            std::vector<Change> changes;
            Register after = replayed.config();
            if (replayed.configVersion().value == 0 || *rc::gen::inRange(0, 2) == 0) {
                after = config;
                after.wave.maxFailures = *rc::gen::inRange(1, 100);
                changes.push_back(ConfigChange{replayed.configVersion().next(),
                                               difference(replayed.config(), after)});
            } else {
                const std::string host = "h" + std::to_string(*rc::gen::inRange(0, 4));
                if (*rc::gen::inRange(0, 4) == 0)
                    changes.push_back(HostRemoval{HostId(host)});
                else
                    changes.push_back(HostChange{{.id = HostId(host), .pool = PoolId("a")}});
            }
            const LogEntry entry{.sequence = head.sequence.next(),
                                 .actor = EntryId("e"),
                                 .operation = "op" + std::to_string(++operation),
                                 .reason = "test",
                                 .changes = changes};
            log.append(entry, after, head);
            if (*rc::gen::inRange(0, 3) == 0)
                table.applyDelayedWrites();
        }
        for (const LogEntry &entry : log.readAfter(replayed.sequence(), 1000))
            RC_ASSERT(replayed.apply(entry));
        const FleetState loaded = log.load();
        RC_ASSERT(loaded.sequence() == replayed.sequence());
        RC_ASSERT(loaded.configVersion() == replayed.configVersion());
        RC_ASSERT(loaded.config() == replayed.config());
        RC_ASSERT(loaded.hosts() == replayed.hosts());
    });
}
