#pragma once

#include "oleanderhall/core/time.h"
#include "oleanderhall/jobs/resources.h"

#include <string>
#include <vector>

namespace oleanderhall {

/// A StepSpec describes identical tasks of a job that may run in parallel.
struct StepSpec
{
    int count = 1; ///< The number of tasks.
    Resources need; ///< Needs of one task. With `usesIdleCores`, no cores are reserved.
    Millis estimate{0}; ///< The caller's estimate of a task's run time; often inaccurate.
    std::vector<int> after; ///< Indexes of earlier steps that must be completed first.
    bool savesProgress = false; ///< Tasks write checkpoints and resume from the last one.
    bool isGang = false; ///< Tasks make progress only while all of them run.
    bool needsOneRack = false; ///< Tasks are slower when they run on more than one rack.
    bool allowsSpeculation = false; ///< Copies of a task may run in parallel.
    bool isLongRunning = false; ///< Tasks run until the job is cancelled.
    bool usesIdleCores = false; ///< Tasks use only cores that other tasks leave idle.
    std::string requiredLabel; ///< A label that the worker must have; empty if any worker will do.
    std::string dataRack; ///< The rack that stores the input data; empty for none.
    int maxPerWorker = 0; ///< Tasks of one occurrence on the same worker; 0 for no limit.
    std::string image;
    Millis latencyTarget{0}; ///< Target tail latency of a serving task; 0 for none.
    int maxDisrupted = -1; ///< Tasks that maintenance may disrupt at once; -1 for no limit.
};

} // namespace oleanderhall
