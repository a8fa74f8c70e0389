#pragma once

#include "oleanderhall/core/time.h"
#include "oleanderhall/scheduling/queueload.h"

#include <vector>

namespace oleanderhall {

class Metrics;

/// Internal: shows how busy the owner is. Adds up the time that its steps take and writes one log
/// line a second, with gauges of the same figures.
class OwnerLoad
{
public:
    /// The time that the stages of one step took.
    struct Step
    {
        Instant::duration planning{}; ///< Of host commands.
        Instant::duration deciding{}; ///< In Scheduler::tick().
        Instant::duration sending{}; ///< Of the resulting actions, and the log.
    };

    explicit OwnerLoad(Metrics &metrics)
        : m_metrics(metrics)
    {}

    void add(const Step &step);
    bool isDue(Instant now) const { return now >= m_next; }
    /// Reports the steps since the last report, and the jobs of `queues`, as of a read of the jobs
    /// that is `readAge` old.
    void report(const std::vector<QueueLoad> &queues, Millis readAge, Instant now);

private:
    Metrics &m_metrics;
    Instant m_next{};
    int m_steps = 0; ///< Since the last report.
    Step m_total; ///< Of these steps.
};

} // namespace oleanderhall
