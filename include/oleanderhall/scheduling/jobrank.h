#pragma once

#include "oleanderhall/core/time.h"

#include <compare>

namespace oleanderhall {

/// The inputs of a job's rank. A job's objective is `stretch` times its critical path plus
/// `allowance`, counted from its acceptance.
struct JobRankInputs
{
    bool isLongRunning = false;
    int priority = 0; ///< Of the queue; 0 is the highest.
    double stretch = 1;
    Millis allowance{0};
    Millis age{0}; ///< Time since the job was accepted.
    Millis criticalPath{0}; ///< Expected run time of the longest chain of dependent steps.
    Millis criticalPathLeft{0}; ///< The same for the steps that are not complete.
    double totalWork = 0; ///< In core-seconds.
    double workLeft = 0; ///< In core-seconds.
    double meanWork = 0; ///< Of the queue's jobs, in core-seconds.
};

/// A JobRank orders jobs that compete for one pool; the lowest is placed first. Long-running jobs
/// come before all others, then queues by priority. Within a queue, jobs that can still meet their
/// objective come first, then late jobs whose result is still useful, then the rest. Jobs that are
/// equal so far are ordered by value per remaining work, highest first. This favours started jobs
/// over new ones. Under overload it also lets many small jobs finish in time, where first come,
/// first served would make all jobs late.
struct JobRank
{
    enum class Timeliness {
        InTime, ///< Can still meet its objective.
        Late,
        Expired ///< So late that its result is of no use to the caller.
    };

    int priority = 0;
    Timeliness timeliness = Timeliness::InTime;
    /// Value per remaining core-second, times -1. For an expired job, its age in seconds, times -1.
    double negatedValueDensity = 0;

    friend auto operator<=>(const JobRank &, const JobRank &) = default;
};

/// Returns the rank of a job. Only ranks computed for the same instant can be compared.
JobRank rankOf(const JobRankInputs &inputs);

} // namespace oleanderhall
