#pragma once

#include "oleanderhall/core/time.h"
#include "oleanderhall/jobs/jobprogress.h"
#include "oleanderhall/jobs/jobspec.h"
#include "oleanderhall/jobs/jobstate.h"
#include "oleanderhall/scheduling/workerinfo.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace oleanderhall {

/// What the owner knows of one task.
struct TrackedTask
{
    bool isDone = false;
    bool isPlaced = false; ///< A run of it exists or may exist.
    bool mayRunOnUnsyncedWorker = false; ///< An earlier owner may have started it where this one
                                         ///< can't look.
    int failures = 0;
    std::int64_t lastRun = 0; ///< The highest run number given out or seen.
    /// Runs whose end was noted. Workers are read in any order, so that an earlier run's end may
    /// come after a later one's.
    std::vector<std::int64_t> endedRuns;
    WorkerId worker; ///< Of the current run, when placed.
    std::vector<WorkerId> failedOn;
    std::string checkpoint;
    Instant waitingSince;

    bool hasEnded(std::int64_t run) const
    {
        return std::find(endedRuns.begin(), endedRuns.end(), run) != endedRuns.end();
    }
};

/// One step of one occurrence.
struct TrackedStep
{
    std::vector<TrackedTask> tasks;
    int doneTasks = 0;
    int placedTasks = 0;
    int gangFailures = 0;
    std::int64_t lastGangRun = 0;

    bool isComplete() const { return doneTasks == static_cast<int>(tasks.size()); }
};

/// One occurrence of a job; a job that runs once has one, due at once.
struct Occurrence
{
    int number = 0;
    std::vector<TrackedStep> steps;
};

/// What the owner knows of one job.
struct TrackedJob
{
    JobSpec spec;
    JobState state = JobState::Queued;
    bool isCancelled = false;
    bool isInherited = false; ///< Accepted before this owner took over.
    bool isReleased = false; ///< It is to be recorded, or is recorded, that it may start.
    bool isReleaseInBatch = false; ///< The record under way says so.
    bool isReleaseRecorded = false; ///< That is recorded.
    Instant accepted;
    Instant ended;
    std::vector<Occurrence> occurrences;
    std::vector<TaskProgress> inheritedProgress; ///< Recorded by earlier owners.
    bool isDirty = false; ///< Its progress must be recorded at once.
    bool isLazilyDirty = false; ///< Its progress may be recorded with the next batch.
    Instant lazilyDirtySince;
    bool isRecorded = true; ///< The latest progress is durable.

    bool isLongRunning() const { return !spec.steps.empty() && spec.steps.front().isLongRunning; }
};

} // namespace oleanderhall
