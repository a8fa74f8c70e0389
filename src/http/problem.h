#pragma once

#include "call.h"

#include "oleanderhall/routing/refusal.h"

namespace oleanderhall {

/// Internal: writes a refusal as application/problem+json with its reason, whether the request ran,
/// and Retry-After where it is set.
Reply problemReply(const Refusal &refusal);

} // namespace oleanderhall
