#pragma once

#include "attempt.h"

namespace load {

/// Prints attempts by outcome, refusals by reason and latency percentiles in milliseconds.
void printStatistics(const std::vector<Attempt> &attempts);

} // namespace load
