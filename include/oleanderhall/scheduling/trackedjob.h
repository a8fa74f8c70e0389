#pragma once

#include "oleanderhall/core/time.h"
#include "oleanderhall/jobs/jobprogress.h"
#include "oleanderhall/jobs/jobspec.h"
#include "oleanderhall/jobs/jobstate.h"
#include "oleanderhall/jobs/resources.h"
#include "oleanderhall/scheduling/workerinfo.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace oleanderhall {

/// The owner's in-memory state of one task.
struct TrackedTask
{
    bool isDone = false;
    bool isPlaced = false; ///< A run of it exists, or may exist.
    /// An earlier owner may have started it on a worker whose runs this owner has not read.
    bool mayRunOnUnsyncedWorker = false;
    int failures = 0;
    int crashes = 0; ///< Workers that crashed while a run of it was on them.
    WorkerId lastCrashWorker; ///< The latest of these; empty if an earlier owner counted it.
    HostId lastCrashHost; ///< Its host, if it is known.
    std::int64_t lastCrash = 0; ///< TrackedJob::crashes at the latest; 0 if none by this owner.
    std::int64_t currentRun = 0; ///< The number of the current run, if the task is placed.
    std::int64_t copyRun = 0; ///< The number of the other run at the same time; 0 if there is none.
    std::int64_t lastRun = 0; ///< The highest run number assigned or reported.
    /// Runs whose end was handled. Workers are polled in any order, so the end of an earlier run
    /// may be reported after that of a later one.
    std::vector<std::int64_t> endedRuns;
    WorkerId worker; ///< Of the current run, if the task is placed.
    WorkerId copyWorker; ///< Of the other run.
    std::vector<WorkerId> failedOn; ///< Workers where a run failed or stalled.
    std::string checkpoint;
    /// When a worker for it was first looked for since its last run, if it must run apart from
    /// other jobs; the epoch before.
    Instant isolationBegin;

    bool hasEnded(std::int64_t run) const
    {
        return std::find(endedRuns.begin(), endedRuns.end(), run) != endedRuns.end();
    }
};

/// The owner's in-memory state of one step of one occurrence.
struct TrackedStep
{
    std::vector<TrackedTask> tasks;
    int doneTasks = 0;
    int placedTasks = 0;
    int gangFailures = 0; ///< Number of failed runs of all tasks of a gang together.
    std::int64_t lastGangRun = 0; ///< The run number that the gang's tasks share.
    int timedTasks = 0; ///< Number of done tasks whose run time is known.
    double totalRunTimeMs = 0; ///< Of these tasks.

    bool isComplete() const { return doneTasks == static_cast<int>(tasks.size()); }
};

/// One occurrence of a recurring job. A job that runs once has one occurrence, due immediately.
struct Occurrence
{
    int number = 0;
    std::vector<TrackedStep> steps;
};

/// The owner's in-memory state of one job. A job's tasks may start only after its release, a
/// durable record that they may have been started, so that a later owner looks for their runs. The
/// release is for the workers of one pool; a job whose queue gets another pool is released again.
struct TrackedJob
{
    JobSpec spec;
    JobState state = JobState::Queued;
    bool isCancelled = false;
    bool isWithdrawn = false; ///< It was cancelled without having been stored.
    bool isInherited = false; ///< Accepted before this owner took over.
    bool isReleased = false; ///< Its release is decided, but possibly not recorded yet.
    bool isReleaseInBatch = false; ///< The write in flight contains its release.
    bool isReleaseRecorded = false; ///< Its release is durable, so its tasks may start.
    PoolId acceptedPool; ///< The pool of its queue when it was accepted.
    /// Pools that its queue had before and into which the job was released, possibly by an earlier
    /// owner. Its tasks may have been started on their workers.
    std::vector<PoolId> earlierPools;
    bool isOverRate = false; ///< Its team sent it beyond its rate.
    bool hasBegun = false; ///< A worker has confirmed that a task of it runs or has ended.
    Instant accepted;
    /// When a start of a task was first sent; the epoch if by another owner, or if no task of the
    /// job that has not begun is on a worker any more.
    Instant firstStart;
    Instant ended;
    std::vector<Occurrence> occurrences;
    std::vector<TaskProgress> inheritedProgress; ///< As recorded by earlier owners.
    Resources inheritedRunning; ///< JobProgress::stillRunning as recorded by an earlier owner.
    bool isDirty = false; ///< Its progress must be recorded without delay.
    bool isLazilyDirty = false; ///< Its progress may wait up to SchedulerSettings::maxRecordDelay.
    Instant lazilyDirtySince;
    bool isRecorded = true; ///< The latest progress is durable.
    std::int64_t crashes = 0; ///< Crashes under its tasks that this owner has counted.
    std::int64_t crashesInBatch = 0; ///< The same as of the write in flight.
    std::int64_t recordedCrashes = 0; ///< The same as of the latest durable write.

    /// Returns whether tasks of it may have been started by any owner.
    bool mayHaveStarted() const { return isReleased || !earlierPools.empty(); }
    bool isLongRunning() const { return !spec.steps.empty() && spec.steps.front().isLongRunning; }
};

} // namespace oleanderhall
