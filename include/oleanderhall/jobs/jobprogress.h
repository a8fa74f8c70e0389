#pragma once

#include "oleanderhall/core/ids.h"
#include "oleanderhall/jobs/jobstate.h"
#include "oleanderhall/jobs/resources.h"
#include "oleanderhall/jobs/taskid.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace oleanderhall {

/// The stored progress of one task, of which at least one run has ended or was lost in a crash.
struct TaskProgress
{
    int occurrence = 0;
    int step = 0;
    int index = 0;
    bool isDone = false;
    int failures = 0;
    int crashes = 0; ///< Workers that crashed while a run of it was on them.
    std::vector<std::int64_t> endedRuns; ///< Runs whose end is recorded, in any order.
    std::string checkpoint;

    friend bool operator==(const TaskProgress &, const TaskProgress &) = default;
};

/// The stored progress of a job. Tasks without an ended run are not listed.
struct JobProgress
{
    JobId id;
    JobState state = JobState::Queued;
    TeamId team; ///< As in JobSpec::team, so that one read shows whose job it is.
    std::int64_t acceptedMs = 0; ///< On the table service's monotonic clock.
    /// The job's tasks may have been started. No task of a job that is not released has ever run,
    /// so a new owner need not search the workers for it.
    bool isReleased = false;
    /// The pools on whose workers the tasks of a released job may have been started; empty if that
    /// is only the pool with which the job was accepted.
    std::vector<PoolId> releasedPools;
    /// What tasks of an ended job may still have used when this was recorded. A new owner counts it
    /// against the team's cap until it has read all workers.
    Resources stillRunning;
    /// The job was cancelled while it wasn't stored, and this record prevents that it is stored
    /// later. Callers are told that there is no such job.
    bool isWithdrawn = false;
    std::vector<TaskProgress> tasks;

    friend bool operator==(const JobProgress &, const JobProgress &) = default;
};

/// Returns `progress` encoded as JSON for storage. The text does not contain the job's id.
std::string encodeProgress(const JobProgress &progress);
/// Decodes what encodeProgress() returned for the job `id`. Returns nothing if `text` is invalid.
std::optional<JobProgress> decodeProgress(JobId id, const std::string &text);

} // namespace oleanderhall
