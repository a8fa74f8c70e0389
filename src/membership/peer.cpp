#include "oleanderhall/membership/peer.h"

#include "oleanderhall/core/errors.h"
#include "oleanderhall/core/jsoncursor.h"

#include <cmath>
#include <limits>

namespace oleanderhall {

namespace {

constexpr std::int64_t kMaxMs = std::numeric_limits<std::int64_t>::max();
constexpr double kMilliPerCore = 1000;
constexpr std::int64_t kMaxMilliCores = 1000000;

} // namespace

std::string encodePeer(const Peer &peer)
{
    using web::json::value;
    value result = value::object();
    result["peer"] = value::string(peer.address);
    result["zone"] = value::string(peer.zone.name());
    result["milliCores"] = value::number(
        static_cast<std::int64_t>(std::lround(peer.processorCores * kMilliPerCore)));
    result["writtenMs"] = value::number(peer.writtenMs);
    return result.serialize();
}

Peer parsePeer(const std::string &id, const std::string &text)
{
    FindingList findings;
    const web::json::value json = parseJson(text, "member");
    const JsonCursor cursor(json, "member", "", findings);
    Peer peer{.address = cursor.text("peer"),
              .processorCores = static_cast<double>(cursor.number("milliCores", 0, kMaxMilliCores))
                  / kMilliPerCore,
              .writtenMs = cursor.number("writtenMs", 0, kMaxMs)};
    const std::string zone = cursor.text("zone");
    if (!findings.empty())
        throw InvalidDocument(std::move(findings));
    // Names are never freed, so only those of valid rows become ids.
    peer.id = EntryId(id);
    peer.zone = ZoneId(zone);
    return peer;
}

} // namespace oleanderhall
