#include "oleanderhall/membership/memberrow.h"

#include "oleanderhall/core/errors.h"
#include "oleanderhall/core/jsoncursor.h"

#include <limits>

namespace oleanderhall {

namespace {

constexpr std::int64_t kMaxCount = std::numeric_limits<std::int64_t>::max();

std::uint64_t parseCount(const JsonCursor &cursor, std::string_view key)
{
    return static_cast<std::uint64_t>(cursor.number(key, 0, kMaxCount));
}

} // namespace

std::string encodeMember(const MemberRow &row)
{
    using web::json::value;
    value result = value::object();
    result["id"] = value::string(row.id.name());
    result["zone"] = value::string(row.zone.name());
    result["peer"] = value::string(row.peerAddress);
    result["incarnation"] = value::string(row.incarnation);
    result["beat"] = value::number(row.heartbeatCount);
    result["acknowledged"] = value::number(row.acknowledged.value);
    result["config"] = value::number(row.config.value);
    result["leaving"] = value::number(row.leaving ? 1 : 0);
    return result.serialize();
}

MemberRow parseMember(const std::string &text)
{
    FindingList findings;
    const web::json::value json = parseJson(text, "member");
    const JsonCursor cursor(json, "member", "", findings);
    cursor.allowOnly(
        {"id", "zone", "peer", "incarnation", "beat", "acknowledged", "config", "leaving"});
    MemberRow row{
        .id = EntryId(cursor.text("id")),
        .zone = ZoneId(cursor.text("zone")),
        .peerAddress = cursor.text("peer"),
        .incarnation = cursor.text("incarnation"),
        .heartbeatCount = parseCount(cursor, "beat"),
        .acknowledged = {parseCount(cursor, "acknowledged")},
        .config = {parseCount(cursor, "config")},
        .leaving = cursor.number("leaving", 0, 1) == 1,
    };
    if (!findings.empty())
        throw InvalidDocument(std::move(findings));
    return row;
}

} // namespace oleanderhall
