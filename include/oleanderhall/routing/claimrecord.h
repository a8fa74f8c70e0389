#pragma once

#include "oleanderhall/routing/refusal.h"

#include <optional>
#include <string>
#include <variant>

namespace oleanderhall {

/// The state of an unrepeatable request, as stored under its idempotency key.
enum class ClaimState {
    Claimed, ///< Only the entry host that holds the token may send it.
    Released, ///< The claim was released before anything was sent.
    Done, ///< It was executed, and its response was received.
    Unknown, ///< It was sent, but no complete response was received.
};

/// The table row by which a request with an Idempotency-Key is executed at most once. Only the
/// holder of the token may send the request or change the row.
struct ClaimRecord
{
    ClaimState state = ClaimState::Claimed;
    std::string token; ///< Identifies the claim attempt that holds the claim.
    std::string requestHash; ///< Tells a repetition from another request with the same key.
    int status = 0; ///< Status code of the response, if Done.
    std::string contentType;
    std::string body;
    bool hasStoredBody = false; ///< False if the response body exceeds the limit for storing.

    friend bool operator==(const ClaimRecord &, const ClaimRecord &) = default;
};

/// The request may be claimed; the claim replaces the row that was read, if any.
struct ClaimAllowed
{};

/// The stored response, returned to a repetition of the request.
struct ReplayedResponse
{
    int status = 0;
    std::string contentType;
    std::string body;
};

/// The result of evaluateClaim().
using ClaimDecision = std::variant<ClaimAllowed, ReplayedResponse, Refusal>;

/// Decides whether a request with the hash `requestHash` may be claimed, gets the stored response
/// or is refused. `existing` is the row under its key, if there is one.
ClaimDecision evaluateClaim(const std::optional<ClaimRecord> &existing,
                            const std::string &requestHash);

/// Serializes the record for the table.
std::string encodeClaim(const ClaimRecord &record);
/// Parses the output of encodeClaim(). Throws InvalidDocument.
ClaimRecord parseClaim(const std::string &text);

} // namespace oleanderhall
