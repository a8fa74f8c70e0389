#pragma once

#include "oleanderhall/core/time.h"
#include "oleanderhall/jobs/taskid.h"
#include "oleanderhall/scheduling/workerinfo.h"

#include <set>

namespace oleanderhall {

/// Identifies a step of one occurrence of a job; `occurrence` is the occurrence's index.
struct StepPosition
{
    JobId job;
    int occurrence = 0;
    int step = 0;

    friend bool operator==(const StepPosition &, const StepPosition &) = default;
};

/// A step that was its team's turn but found no worker with enough free capacity.
struct RefusedStep
{
    StepPosition position;
    Instant since; ///< When it was first refused.
};

/// Workers of a pool that start only tasks of one step, which needs more than what the end of other
/// teams' tasks frees at once.
struct CapacityReservation
{
    StepPosition position;
    std::set<WorkerId> workers; ///< Empty if nothing is reserved.
};

} // namespace oleanderhall
