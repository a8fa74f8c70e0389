#pragma once

#include "call.h"
#include "httptypes.h"

#include "oleanderhall/routing/refusal.h"

#include <functional>
#include <optional>
#include <string_view>
#include <variant>

namespace oleanderhall {

/// Internal: finds the rule of a service by its name, without keeping the name.
using RuleLookup = std::function<std::optional<ServiceRule>(std::string_view)>;

inline constexpr std::size_t kMaxKeyLength = 255; // bytes
inline constexpr std::int64_t kMaxTimeoutMs = 600000; // milliseconds
inline constexpr const char *kTimeoutHeader = "X-Request-Timeout-Ms";
inline constexpr const char *kIdempotencyKeyHeader = "Idempotency-Key";

/// Internal: checks a request and turns it into a Call, or says why it is refused. Takes the body
/// out of `request` only when a Call is returned.
std::variant<Call, Refusal> parseCall(HttpRequest &request, const RuleLookup &ruleOf, Instant now);

/// Internal: says whether a header field concerns one connection only.
bool isHopByHop(std::string_view name);

} // namespace oleanderhall
