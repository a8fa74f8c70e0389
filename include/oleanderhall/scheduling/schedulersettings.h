#pragma once

#include "oleanderhall/core/time.h"

#include <cstddef>

namespace oleanderhall {

/// The limits and intervals of a Scheduler. Those marked as a platform limit are set from the
/// process's settings.
struct SchedulerSettings
{
    /// How long a worker keeps its runs after the owner's last poll or start. Longer than a change
    /// of owner takes, so that runs survive it. Tasks of an unresponsive worker are started
    /// elsewhere only after this time.
    Millis workerLease{5000};
    /// The longest lease that a worker grants, whatever a command asks for (platform limit).
    Millis maxWorkerLease{10000};
    /// How long after a take-over a task is not started again if it may run on a worker that this
    /// owner can't read: the worker's lease plus the time for which an owner extends leases without
    /// access to the table.
    Millis inheritedTaskDelay{7000};
    /// Jobs accepted within this time after a take-over count as possibly started by the earlier
    /// owner, which may not know yet that it was replaced.
    Millis takeoverOverlap{2000};
    /// How long a worker may take to stop a run (platform limit).
    Millis stopTimeout{400};
    /// How long the state of an ended job stays readable (platform limit).
    Millis statusLifetime{120000};
    /// The longest time that a poll waits at the worker for a run to end; the platform allows
    /// 2,000 ms.
    Millis pollWait{1500};
    /// The greatest age of a status that shows a long-running task as ready when a disruption of
    /// its step is admitted. It covers one poll that waits and the answer of the next.
    Millis maxStatusAge{3500};
    /// Delay before the next poll after a run has ended, so that one poll reads several ends: each
    /// poll is charged for.
    Millis pollSpacing{40};
    /// How long a worker may take to answer a poll; an answer usually takes 2 ms.
    Millis pollAnswerTime{500};
    /// The same after several failed polls, as the worker may be slow to answer.
    Millis slowPollAnswerTime{2500};
    /// Delay before a start or stop that was not answered is sent again.
    Millis commandRetryDelay{250};
    /// How often a start is sent before its run is abandoned and stopped.
    int maxStartAttempts = 3;
    /// How long a worker that seems faulty gets no new tasks. The time doubles with each further
    /// suspicion until a task succeeds there.
    Millis avoidDuration{3000};
    /// A run without progress for this long is stopped, and its task is started elsewhere.
    Millis stallTimeout{2000};
    /// The longest delay before progress that changes no outcome is recorded.
    Millis maxRecordDelay{400};
    /// The shortest time between two writes of progress; each transaction is charged for.
    Millis recordInterval{50};
    /// Jobs per write of progress, which the caller splits into transactions.
    std::size_t maxJobsPerWrite = 240;
    Millis teamRateWindow{5000}; ///< The span over which the rate of a team's jobs is judged.
    /// The fraction by which a worker's clock may run slow; the platform specifies 2 %.
    double clockDrift = 0.02;
};

} // namespace oleanderhall
