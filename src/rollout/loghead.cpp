#include "oleanderhall/rollout/loghead.h"

#include "oleanderhall/core/errors.h"
#include "oleanderhall/core/jsoncursor.h"

#include <limits>

namespace oleanderhall {

std::string encodeHead(const LogHead &head)
{
    using web::json::value;
    value result = value::object();
    result["sequence"] = value::number(head.sequence.value);
    result["config"] = value::number(head.configVersion.value);
    result["baseVersion"] = value::number(head.baseVersion.value);
    if (!head.baseKey.empty())
        result["baseKey"] = value::string(head.baseKey);
    return result.serialize();
}

LogHead parseHead(const std::string &text)
{
    constexpr std::int64_t kLargest = std::numeric_limits<std::int64_t>::max();
    FindingList findings;
    const web::json::value json = parseJson(text, "head");
    const JsonCursor cursor(json, "head", "", findings);
    cursor.allowOnly({"sequence", "config", "baseVersion", "baseKey"});
    const auto count = [&cursor](std::string_view key) {
        return static_cast<std::uint64_t>(cursor.number(key, 0, kLargest));
    };
    LogHead head{
        .sequence = {count("sequence")},
        .configVersion = {count("config")},
        .baseKey = cursor.textOr("baseKey", ""),
        .baseVersion = {count("baseVersion")},
    };
    if (!findings.empty())
        throw InvalidDocument(std::move(findings));
    return head;
}

} // namespace oleanderhall
