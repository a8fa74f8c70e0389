#pragma once

#include "oleanderhall/jobs/queueconfig.h"
#include "oleanderhall/jobs/stepspec.h"
#include "oleanderhall/jobs/taskid.h"

#include <cstdint>
#include <string>
#include <vector>

namespace oleanderhall {

/// A JobSpec is a job as submitted by its caller, with the configuration of its queue at that time.
struct JobSpec
{
    JobId id;
    QueueConfig queue;
    TeamId team; ///< The team whose key submitted the job; empty on public queues.
    ConfigVersion config; ///< The configuration version at acceptance.
    std::string payload; ///< Passed unchanged to every task.
    std::vector<StepSpec> steps;
    int occurrences = 0; ///< 0 for a job that runs once and immediately.
    std::int64_t firstDueMs = 0; ///< Start of occurrence 0, in milliseconds since 1970.
    std::int64_t intervalMs = 0; ///< Between the starts of two occurrences.
    std::int64_t acceptedMs = 0; ///< On the table service's monotonic clock.
    bool isReleased = false; ///< The owner may start it without storing a release first.
};

} // namespace oleanderhall
