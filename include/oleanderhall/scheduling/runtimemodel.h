#pragma once

#include "oleanderhall/core/time.h"
#include "oleanderhall/jobs/stepspec.h"

#include <map>
#include <string>

namespace oleanderhall {

/// A RunTimeModel learns how long tasks of each queue run, as callers' estimates are far off.
class RunTimeModel
{
public:
    /// Records that a task with the caller's estimate `estimate` ran for `took`.
    void observe(const std::string &queue, Millis estimate, Millis took);
    /// Returns the expected run time of one task of `step`.
    Millis expected(const std::string &queue, const StepSpec &step) const;
    /// Returns the expected run time of the longest task of `step`.
    Millis longest(const std::string &queue, const StepSpec &step) const;
    /// Records the work of a whole job in core-seconds, as it was submitted.
    void observeWork(const std::string &queue, double coreSeconds);
    /// Returns the mean work of the queue's jobs in core-seconds; 0 before the first.
    double meanWork(const std::string &queue) const;

private:
    struct QueueStatistics
    {
        double meanRunTimeMs = 0; ///< Of run times, in milliseconds.
        double meanEstimateRatio = 1; ///< Of run time over estimate.
        double meanJobWork = 0; ///< Mean of jobs, in core-seconds.
        int observations = 0;
    };
    std::map<std::string, QueueStatistics> m_queues;
};

} // namespace oleanderhall
