#include "oleanderhall/scheduling/runtimemodel.h"

#include <algorithm>

namespace oleanderhall {

namespace {

// The lowest weight of a new observation. The first run times are averaged with equal weights,
// until these fall to this value.
constexpr double kObservationWeight = 0.05;
constexpr int kManyTasks = 4;
constexpr double kMaxEstimateRatio = 10; // keeps one bad estimate from distorting the mean

} // namespace

void RunTimeModel::observe(const std::string &queue, Millis estimate, Millis runTime)
{
    QueueStatistics &statistics = m_queues[queue];
    ++statistics.observations;
    const double weight = std::max(kObservationWeight, 1.0 / statistics.observations);
    const auto milliseconds = static_cast<double>(runTime.count());
    statistics.meanRunTimeMs += weight * (milliseconds - statistics.meanRunTimeMs);
    const double ratio = milliseconds / std::max(1.0, static_cast<double>(estimate.count()));
    statistics.meanEstimateRatio += weight
        * (std::min(ratio, kMaxEstimateRatio) - statistics.meanEstimateRatio);
}

Millis RunTimeModel::expected(const std::string &queue, const StepSpec &step) const
{
    const auto found = m_queues.find(queue);
    if (found == m_queues.end() || found->second.observations == 0)
        return step.estimate;
    const QueueStatistics &statistics = found->second;
    const double corrected = static_cast<double>(step.estimate.count())
        * statistics.meanEstimateRatio;
    return Millis(static_cast<Millis::rep>((corrected + statistics.meanRunTimeMs) / 2));
}

Millis RunTimeModel::longest(const std::string &queue, const StepSpec &step) const
{
    // Run times within a step differ by up to a third. The more tasks a step has, the closer its
    // longest one comes to that.
    const double spread = step.count == 1 ? 1 : step.count < kManyTasks ? 1.12 : 1.22;
    const Millis typical = expected(queue, step);
    return Millis(static_cast<Millis::rep>(static_cast<double>(typical.count()) * spread));
}

void RunTimeModel::observeWork(const std::string &queue, double coreSeconds)
{
    QueueStatistics &statistics = m_queues[queue];
    statistics.meanJobWork += (statistics.meanJobWork == 0 ? 1 : kObservationWeight)
        * (coreSeconds - statistics.meanJobWork);
}

double RunTimeModel::meanWork(const std::string &queue) const
{
    const auto found = m_queues.find(queue);
    return found == m_queues.end() ? 0 : found->second.meanJobWork;
}

} // namespace oleanderhall
