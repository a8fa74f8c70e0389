#pragma once

#include "call.h"

#include "oleanderhall/routing/refusal.h"

namespace oleanderhall {

/// Internal: returns a refusal as an application/problem+json reply with its reason and execution
/// status. Sets Retry-After, in seconds rounded up, if the refusal has it.
Reply problemReply(const Refusal &refusal);

} // namespace oleanderhall
