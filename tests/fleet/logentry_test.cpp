#include "oleanderhall/fleet/logentry.h"

#include "oleanderhall/core/errors.h"

#include "../support/registers.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

using namespace oleanderhall;

namespace {

LogEntry sampleEntry()
{
    LogEntry entry{
        .sequence = {7}, .actor = EntryId("e1"), .operation = "e1-3", .reason = "because"};
    HostRecord record{.id = HostId("h1"),
                      .pool = PoolId("a"),
                      .state = HostState::Draining,
                      .epoch = {3},
                      .disruption = Disruption::Reboot,
                      .wave = WaveId("w")};
    record.instances.push_back({ServiceId("alpha"), InstanceState::Ready});
    entry.changes.push_back(HostChange{record});
    entry.changes.push_back(HostRemoval{HostId("h2")});
    entry.changes.push_back(
        WaveChange{{WaveId("w"), PoolId("a"), WaveStatus::Paused, "an operator"}});
    entry.changes.push_back(ConfigChange{{4}, difference(Register{}, test::smallRegister())});
    return entry;
}

} // namespace

TEST_CASE("parseLogEntry: an entry with every kind of change: comes back the same")
{
    const LogEntry entry = sampleEntry();
    CHECK(parseLogEntry(toJson(entry).serialize()) == entry);
}

TEST_CASE("parseLogEntry: a reason of many hosts: is read back")
{
    LogEntry entry = sampleEntry();
    entry.reason = std::string(4000, 'r');
    CHECK(parseLogEntry(toJson(entry).serialize()).reason.size() == 4000);
}

TEST_CASE("parseLogEntry: mutated bytes: an entry or findings, nothing else")
{
    const std::string valid = toJson(sampleEntry()).serialize();
    rc::prop("no other exception escapes", [&valid] {
        std::string text = valid;
        const int edits = *rc::gen::inRange(1, 8);
        for (int edit = 0; edit < edits; ++edit)
            text[*rc::gen::inRange<std::size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
        try {
            parseLogEntry(text);
        } catch (const InvalidDocument &error) {
            RC_ASSERT(!error.findings().empty());
        }
    });
}
