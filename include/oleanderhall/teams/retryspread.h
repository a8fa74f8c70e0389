#pragma once

#include "oleanderhall/core/time.h"

namespace oleanderhall {

/// A RetrySpread spreads the times at which refused callers are told to retry, so that those who
/// were refused together don't return together.
class RetrySpread
{
public:
    /// Processes should pass different values in [0, 1) as `start`.
    explicit RetrySpread(double start = 0)
        : m_position(start)
    {}

    /// Returns the next time, between a half and one and a half of `mean`. Any few successive
    /// times are far apart.
    Millis next(Millis mean);
    /// Returns the next of evenly spread values in [0, 1).
    double nextFraction();

private:
    double m_position;
};

} // namespace oleanderhall
