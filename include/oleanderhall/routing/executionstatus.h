#pragma once

#include <string_view>

namespace oleanderhall {

/// Whether a request that got no answer of its own was run. It is No only when that is certain.
enum class ExecutionStatus { NotExecuted, Executed, Unknown };

/// Returns the value as callers read it in a refusal: "no", "yes" or "unknown".
std::string_view nameOf(ExecutionStatus ran);

} // namespace oleanderhall
