#pragma once

#include "../../platform/workerclient.h"

#include "oleanderhall/ownership/ownership.h"
#include "oleanderhall/scheduling/startgate.h"

namespace oleanderhall {

/// Internal: whether an owner may send a call to a worker at one moment.
enum class CallPermission { Granted, LeaseExpired, FactsTooOld };

/// Internal: decides on a call that is about to be written. It may have been queued, or the process
/// paused, since the Scheduler decided on it.
CallPermission callPermission(platform::WorkerClient::CallKind kind, const Ownership &ownership,
                              const StartGate &gate, Instant now);

} // namespace oleanderhall
