#include "oleanderhall/routing/claimrecord.h"

#include "oleanderhall/core/errors.h"
#include "oleanderhall/core/jsoncursor.h"

#include <cpprest/asyncrt_utils.h>

#include <array>

namespace oleanderhall {

namespace {

constexpr std::array<std::string_view, 4> kStateNames{"claimed", "released", "done", "unknown"};
constexpr Millis kInProgressRetryAfter{1000};
constexpr int kMaxStatus = 599;

ClaimState parseState(const JsonCursor &cursor)
{
    const std::string name = cursor.text("state");
    for (std::size_t index = 0; index < kStateNames.size(); ++index) {
        if (kStateNames[index] == name)
            return static_cast<ClaimState>(index);
    }
    cursor.report("state", "'" + name + "' is not known", "a claim's state");
    return ClaimState::Unknown;
}

std::string decodeBody(const JsonCursor &cursor)
{
    const std::string encoded = cursor.value().at("body").as_string();
    const auto bytes = utility::conversions::from_base64(encoded);
    return {bytes.begin(), bytes.end()};
}

} // namespace

ClaimDecision evaluateClaim(const std::optional<ClaimRecord> &existing,
                            const std::string &requestHash)
{
    if (!existing)
        return ClaimAllowed{};
    if (existing->requestHash != requestHash)
        return Refusal{RefusalReason::IdempotencyKeyReused, ExecutionStatus::NotExecuted,
                       std::nullopt};
    switch (existing->state) {
    case ClaimState::Released:
        return ClaimAllowed{};
    case ClaimState::Claimed:
        return Refusal{RefusalReason::DuplicateInProgress, ExecutionStatus::Unknown,
                       kInProgressRetryAfter};
    case ClaimState::Unknown:
        return Refusal{RefusalReason::EarlierOutcomeUnknown, ExecutionStatus::Unknown,
                       std::nullopt};
    case ClaimState::Done:
        break;
    }
    if (!existing->hasStoredBody)
        return Refusal{RefusalReason::AlreadyExecuted, ExecutionStatus::Executed, std::nullopt};
    return ReplayedResponse{existing->status, existing->contentType, existing->body};
}

std::string encodeClaim(const ClaimRecord &record)
{
    using web::json::value;
    value result = value::object();
    result["state"] = value::string(
        std::string(kStateNames[static_cast<std::size_t>(record.state)]));
    result["token"] = value::string(record.token);
    result["hash"] = value::string(record.requestHash);
    if (record.state == ClaimState::Done) {
        result["status"] = value::number(record.status);
        if (!record.contentType.empty())
            result["contentType"] = value::string(record.contentType);
    }
    if (record.hasStoredBody) {
        const std::vector<unsigned char> bytes(record.body.begin(), record.body.end());
        result["body"] = value::string(utility::conversions::to_base64(bytes));
    }
    return result.serialize();
}

ClaimRecord parseClaim(const std::string &text)
{
    FindingList findings;
    const web::json::value json = parseJson(text, "claim");
    const JsonCursor cursor(json, "claim", "", findings);
    cursor.allowOnly({"state", "token", "hash", "status", "contentType", "body"});
    ClaimRecord record{.state = parseState(cursor),
                       .token = cursor.text("token"),
                       .requestHash = cursor.text("hash"),
                       .status = static_cast<int>(cursor.numberOr("status", 0, kMaxStatus, 0)),
                       .contentType = cursor.textOr("contentType", "")};
    if (json.is_object() && json.has_string_field("body")) {
        try {
            record.body = decodeBody(cursor);
            record.hasStoredBody = true;
        } catch (const std::exception &) {
            cursor.report("body", "is not base64", "base64 text");
        }
    }
    if (!findings.empty())
        throw InvalidDocument(std::move(findings));
    return record;
}

} // namespace oleanderhall
