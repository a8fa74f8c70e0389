#pragma once

#include "oleanderhall/core/time.h"

#include <cstddef>

namespace oleanderhall {

/// The limits that a Scheduler works with. Those named after a bound of the platform are set from
/// the process's settings; the others are the project's own.
struct SchedulerSettings
{
    /// How long a worker goes on without hearing from the owner. Longer than an owner's change of
    /// hands, so that running work survives it; a silent worker's tasks wait this long.
    Millis workerLease{5000};
    /// How long a task that an earlier owner may have started where this one can't look stays
    /// blocked: the worker's lease, and the time for which an owner extends leases without the
    /// table.
    Millis inheritedTaskDelay{7000};
    /// How long after a take-over jobs count as possibly started by the earlier owner.
    Millis takeoverOverlap{2000};
    /// How long a stop may take at the worker (a bound of the platform).
    Millis stopTimeout{400};
    /// How long the state of an ended job stays readable (a bound of the platform).
    Millis statusLifetime{120000};
    /// The longest time that a look waits at the worker for an end; the platform allows 2,000 ms.
    Millis pollWait{1500};
    /// Ends that follow one another within this time are read by one look, as looks are priced.
    Millis pollSpacing{40};
    /// A start or stop without an answer is sent again after this time.
    Millis commandRetryDelay{250};
    /// Times that a start is sent before its run is given up and stopped.
    int maxStartAttempts = 3;
    /// A worker that looked bad gets no new tasks for this time, doubled with each relapse.
    Millis avoidDuration{3000};
    /// A task whose progress stands still for this long is stopped and started elsewhere.
    Millis stallTimeout{2000};
    /// Progress that changes no outcome is recorded at the latest after this time.
    Millis maxRecordDelay{400};
    /// Between two transactions that record progress; each is priced.
    Millis recordInterval{50};
    /// How many jobs one transaction records: each takes up to three of the 100 entries that the
    /// platform allows, and the term's row one.
    std::size_t maxJobsPerWrite = 30;
    /// How much slower a worker's clock may run (2 % by the platform's word).
    double clockDrift = 0.02;
};

} // namespace oleanderhall
