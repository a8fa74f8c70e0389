#pragma once

#include "oleanderhall/core/time.h"
#include "oleanderhall/routing/executionstatus.h"
#include "oleanderhall/routing/refusalreason.h"

#include <optional>

namespace oleanderhall {

/// A Refusal is the final reply to a request for which no response from an upstream is returned.
struct Refusal
{
    RefusalReason reason = RefusalReason::BadRequest;
    ExecutionStatus execution = ExecutionStatus::NotExecuted;
    std::optional<Millis> retryAfter; ///< Set only if a later retry may succeed.

    friend bool operator==(const Refusal &, const Refusal &) = default;
};

} // namespace oleanderhall
