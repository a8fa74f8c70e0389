#include "oleanderhall/membership/membertable.h"

#include "oleanderhall/core/errors.h"
#include "oleanderhall/membership/rendezvous.h"
#include "oleanderhall/membership/viewlease.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

using namespace oleanderhall;

namespace {

class MemberTableTest
{
protected:
    Instant now{std::chrono::hours(1)};
    MemberTable table{Millis(5000), Millis(0)};

    static MemberRow row(const std::string &id, std::uint64_t heartbeatCount)
    {
        return {.id = EntryId(id),
                .zone = ZoneId("z"),
                .peerAddress = "127.0.0.1:1",
                .incarnation = "1",
                .heartbeatCount = heartbeatCount};
    }
};

} // namespace

TEST_CASE_METHOD(MemberTableTest,
                 "MemberTable: a row that doesn't change: expires after the expiry time")
{
    table.update({row("a", 1), row("b", 1)}, {1}, now);
    now += Millis(4999);
    table.update({row("a", 2), row("b", 1)}, {1}, now);
    CHECK(table.ownerCandidates(now).size() == 2);
    now += Millis(1);
    CHECK(table.ownerCandidates(now) == std::vector<EntryId>{EntryId("a")});
    CHECK(table.observations(now)[1].leaseExpired);
}

TEST_CASE_METHOD(MemberTableTest, "MemberTable: an entry host that is leaving: owns nothing")
{
    MemberRow leaving = row("a", 1);
    leaving.leaving = true;
    table.update({leaving}, {1}, now);
    CHECK(table.ownerCandidates(now).empty());
    CHECK(table.live(now).size() == 1);
}

TEST_CASE("ownerOf: one entry host leaves: only its own pools pass to others")
{
    rc::prop("pools of the others stay", [] {
        const int size = *rc::gen::inRange(2, 10);
        std::vector<EntryId> live;
        for (int index = 0; index < size; ++index)
            live.push_back(EntryId("e" + std::to_string(index)));
        const auto gone = *rc::gen::inRange<std::size_t>(0, live.size());
        std::vector<EntryId> left = live;
        left.erase(left.begin() + static_cast<long>(gone));
        for (int pool = 0; pool < 67; ++pool) {
            const PoolId id("p" + std::to_string(pool));
            const auto before = ownerOf(id, live);
            if (before != live[gone])
                RC_ASSERT(ownerOf(id, left) == before);
        }
    });
}

TEST_CASE("ViewLease: renewed by an older read: does not get older or newer")
{
    const Instant now{std::chrono::hours(1)};
    ViewLease lease(Millis(3000));
    CHECK_FALSE(lease.isFresh(now));
    lease.renew(now);
    lease.renew(now - Millis(2000));
    CHECK(lease.isFresh(now + Millis(2999)));
    CHECK_FALSE(lease.isFresh(now + Millis(3000)));
}

TEST_CASE("parseMember: mutated bytes: a row or findings, nothing else")
{
    const std::string valid = encodeMember(
        {.id = EntryId("a"), .zone = ZoneId("z"), .peerAddress = "p", .incarnation = "i"});
    CHECK(parseMember(valid).id == EntryId("a"));
    rc::prop("no other exception escapes", [&valid] {
        std::string text = valid;
        text[*rc::gen::inRange<std::size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
        try {
            parseMember(text);
        } catch (const InvalidDocument &error) {
            RC_ASSERT(!error.findings().empty());
        }
    });
}
