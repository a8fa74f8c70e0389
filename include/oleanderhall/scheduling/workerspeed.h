#pragma once

#include "oleanderhall/core/time.h"

namespace oleanderhall {

/// A WorkerSpeed estimates from ended and overdue runs how many times longer than expected tasks
/// run on one worker. Without observations the estimate returns to 1, so that a worker that has
/// recovered gets tasks again.
class WorkerSpeed
{
public:
    /// Records a run that took, or has taken so far, `ratio` times its expected run time.
    void observe(double ratio, Instant now);
    /// Returns the estimate; 1 is as expected, 5 is five times slower.
    double slowness(Instant now) const;
    /// Returns false if slowness() is at most `limit` at any time until the next observation.
    bool mayExceed(double limit) const { return 1 + m_excess > limit; }

private:
    double m_excess = 0; ///< The slowness above 1 when it was updated.
    Instant m_updated{};
};

} // namespace oleanderhall
