#pragma once

#include "oleanderhall/core/time.h"
#include "oleanderhall/jobs/stepspec.h"

#include <map>
#include <string>

namespace oleanderhall {

/// A RunTimeModel predicts how long tasks of each queue run from earlier tasks, because callers'
/// estimates are inaccurate.
class RunTimeModel
{
public:
    /// Records that a task with the caller's estimate `estimate` ran for `runTime`.
    void observe(const std::string &queue, Millis estimate, Millis runTime);
    /// Returns the expected run time of one task of `step`; the caller's estimate before the first
    /// observation of the queue.
    Millis expected(const std::string &queue, const StepSpec &step) const;
    /// Returns the expected run time of the longest task of `step`.
    Millis longest(const std::string &queue, const StepSpec &step) const;
    /// Records the work of a newly submitted job in core-seconds.
    void observeWork(const std::string &queue, double coreSeconds);
    /// Returns the mean work of the queue's jobs in core-seconds; 0 before the first job.
    double meanWork(const std::string &queue) const;

private:
    struct QueueStatistics
    {
        double meanRunTimeMs = 0; ///< Mean of the tasks' run times.
        double meanEstimateRatio = 1; ///< Mean of run time divided by estimate.
        double meanJobWork = 0; ///< Mean work of jobs, in core-seconds.
        int observations = 0; ///< Number of observed tasks.
    };
    std::map<std::string, QueueStatistics> m_queues;
};

} // namespace oleanderhall
