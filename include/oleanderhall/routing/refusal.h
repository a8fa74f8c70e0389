#pragma once

#include "oleanderhall/core/time.h"
#include "oleanderhall/routing/executionstatus.h"
#include "oleanderhall/routing/refusalreason.h"

#include <optional>

namespace oleanderhall {

/// A Refusal is the final answer to a request that got none from an upstream.
struct Refusal
{
    RefusalReason reason = RefusalReason::BadRequest;
    ExecutionStatus execution = ExecutionStatus::NotExecuted;
    std::optional<Millis> retryAfter; ///< Set only where coming back can help.

    friend bool operator==(const Refusal &, const Refusal &) = default;
};

} // namespace oleanderhall
