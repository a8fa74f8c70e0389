#pragma once

#include "attempt.h"

namespace load {

/// Prints requests by outcome, refusals by reason and latency percentiles.
void printStatistics(const std::vector<Attempt> &attempts);

} // namespace load
