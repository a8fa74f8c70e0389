#pragma once

namespace oleanderhall {

/// The state of a job as reported to callers.
enum class JobState { Queued, Running, Completed, Failed, Cancelled };

/// Returns whether a job in `state` never changes its state again.
inline bool isFinal(JobState state)
{
    return state != JobState::Queued && state != JobState::Running;
}

} // namespace oleanderhall
