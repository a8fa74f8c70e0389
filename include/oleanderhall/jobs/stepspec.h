#pragma once

#include "oleanderhall/core/time.h"
#include "oleanderhall/jobs/resources.h"

#include <string>
#include <vector>

namespace oleanderhall {

/// A StepSpec describes tasks that are alike and may run side by side.
struct StepSpec
{
    int count = 1;
    Resources need; ///< Of each task. A task that fills does not reserve the cores.
    Millis estimate{0}; ///< The caller's guess at one task's run time; often far off.
    std::vector<int> after; ///< Earlier steps that must be done first, counted from 0.
    bool savesProgress = false; ///< Tasks write checkpoints and can resume from one.
    bool isGang = false; ///< Tasks work only while all of them run.
    bool needsOneRack = false; ///< Tasks are slower when they run on more than one rack.
    bool allowsSpeculation = false; ///< Copies of a task may run in parallel.
    bool isLongRunning = false; ///< Tasks run until the job is cancelled.
    bool usesIdleCores = false; ///< Tasks use only the cores that others leave idle.
    std::string requiredLabel; ///< A label that the worker must have; empty for none.
    std::string dataRack; ///< The rack where the data lies; empty for none.
    int maxPerWorker = 0; ///< Tasks of one occurrence on one worker; 0 for no limit.
    std::string image;
    Millis latencyTarget{0}; ///< For the tail of a serving task's answers; 0 for none.
    int maxDisrupted = -1; ///< Tasks that maintenance may take away at once; -1 for no budget.
};

} // namespace oleanderhall
