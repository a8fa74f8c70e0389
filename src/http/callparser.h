#pragma once

#include "call.h"
#include "httptypes.h"

#include "oleanderhall/routing/refusal.h"

#include <functional>
#include <optional>
#include <string_view>
#include <variant>

namespace oleanderhall {

/// Internal: returns the rule of the named service, or nothing if the service is unknown. Does not
/// store the name.
using RuleLookup = std::function<std::optional<ServiceRule>(std::string_view)>;

inline constexpr std::size_t kMaxKeyLength = 255; // bytes
inline constexpr std::int64_t kMaxTimeoutMs = 600000;
inline constexpr const char *kTimeoutHeader = "X-Request-Timeout-Ms";
inline constexpr const char *kIdempotencyKeyHeader = "Idempotency-Key";

/// Internal: validates a request and returns it as a Call, or the reason for refusing it. The
/// deadline counts from `now`. Moves the body out of `request` only if it returns a Call.
std::variant<Call, Refusal> parseCall(HttpRequest &request, const RuleLookup &ruleOf, Instant now);

/// Internal: returns whether a header field is not forwarded, because it applies to one connection
/// only or is set anew for each request (Content-Length, Expect). Ignores case.
bool isHopByHop(std::string_view name);

} // namespace oleanderhall
