#pragma once

#include "oleanderhall/jobs/queueconfig.h"
#include "oleanderhall/jobs/stepspec.h"
#include "oleanderhall/jobs/taskid.h"

#include <cstdint>
#include <string>
#include <vector>

namespace oleanderhall {

/// A JobSpec is a job as its caller submitted it, with the rule of its queue at that time.
struct JobSpec
{
    JobId id;
    QueueConfig queue;
    ConfigVersion config; ///< Of the configuration that the job was accepted under.
    std::string payload; ///< Handed to every task unread.
    std::vector<StepSpec> steps;
    int occurrences = 0; ///< 0 for a job that runs once, at once.
    std::int64_t firstDueMs = 0; ///< Of occurrence 0, in milliseconds since 1970.
    std::int64_t intervalMs = 0; ///< Between occurrences.
    std::int64_t acceptedMs = 0; ///< On the table service's steady clock.
    bool isReleased = false; ///< The owner may start it without a further record.
};

} // namespace oleanderhall
