#pragma once

#include "oleanderhall/routing/refusal.h"

#include <optional>
#include <string>
#include <variant>

namespace oleanderhall {

/// How far an unrepeatable request got under its key.
enum class ClaimState {
    Claimed, ///< One entry host alone may send it.
    Released, ///< It was given up before anything was sent.
    Done, ///< It ran, and its answer came.
    Unknown, ///< It was sent, and no whole answer came.
};

/// A ClaimRecord is the row that makes a request with an Idempotency-Key run at most once. Only the
/// holder of the token may send the request or change the row.
struct ClaimRecord
{
    ClaimState state = ClaimState::Claimed;
    std::string token; ///< Names the one attempt that holds the claim.
    std::string bodyHash; ///< Tells another request under the same key from a repetition.
    int status = 0; ///< The answer's status code, when Done.
    std::string contentType;
    std::string body;
    bool hasStoredBody = false; ///< Whether the answer was small enough to be kept.

    friend bool operator==(const ClaimRecord &, const ClaimRecord &) = default;
};

/// The request may be claimed, replacing the row that was read.
struct ClaimAllowed
{};

/// The kept answer is the answer to this repetition as well.
struct ReplayedResponse
{
    int status = 0;
    std::string contentType;
    std::string body;
};

using ClaimDecision = std::variant<ClaimAllowed, ReplayedResponse, Refusal>;

/// Decides what a request may do, given the row under its key, if there is one.
ClaimDecision evaluateClaim(const std::optional<ClaimRecord> &existing,
                            const std::string &bodyHash);

/// Returns the record as stored in the table.
std::string encodeClaim(const ClaimRecord &record);
/// Parses what encodeClaim() wrote. Throws InvalidDocument.
ClaimRecord parseClaim(const std::string &text);

} // namespace oleanderhall
