#pragma once

#include "oleanderhall/core/time.h"

#include <compare>

namespace oleanderhall {

/// What the order of waiting jobs rests on.
struct JobRankInputs
{
    bool isLongRunning = false;
    int priority = 0; ///< Of the queue; 0 comes first.
    double stretch = 1; ///< The objective is this many times the whole chain...
    Millis allowance{0}; ///< ...and this much more.
    Millis age{0}; ///< Since the job was accepted.
    Millis criticalPath{0}; ///< Expected run time of the longest chain of steps.
    Millis criticalPathLeft{0};
    double totalWork = 0; ///< In core-seconds.
    double workLeft = 0;
    double meanWork = 0; ///< Of the queue's jobs.
};

/// A JobRank orders jobs that compete for one pool; the least comes first. Long-running jobs come
/// before all others, then queues by priority. Within a queue come the jobs that can still meet
/// their objective, then those that are late and still of use, then the rest. Among equals comes
/// the one with the most worth for the work that is left: what is begun is finished, and under
/// overload many small jobs are in time where first come first served would make all late.
struct JobRank
{
    enum class Timeliness { InTime, Late, Expired };

    int priority = 0;
    Timeliness timeliness = Timeliness::InTime;
    double negatedValueDensity = 0;

    friend auto operator<=>(const JobRank &, const JobRank &) = default;
};

/// Returns the rank of a job. It only compares with ranks taken at the same time.
JobRank rankOf(const JobRankInputs &facts);

} // namespace oleanderhall
