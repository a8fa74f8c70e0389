#pragma once

#include <string_view>

namespace oleanderhall {

/// Whether an upstream executed a request for which the caller gets no response from the upstream.
/// NotExecuted is used only when that is certain.
enum class ExecutionStatus { NotExecuted, Executed, Unknown };

/// Returns the value as written in the body of a refusal: "no", "yes" or "unknown".
std::string_view nameOf(ExecutionStatus execution);

} // namespace oleanderhall
