#include "oleanderhall/scheduling/runtimemodel.h"

#include <algorithm>

namespace oleanderhall {

namespace {

constexpr double
    kObservationWeight = 0.05; // of a new observation, once the first ones are averaged
constexpr int kManyTasks = 4;
constexpr double kMaxEstimateRatio = 10; // one absurd estimate must not spoil the mean

} // namespace

void RunTimeModel::observe(const std::string &queue, Millis estimate, Millis took)
{
    QueueStatistics &learned = m_queues[queue];
    ++learned.observations;
    const double weight = std::max(kObservationWeight, 1.0 / learned.observations);
    const auto milliseconds = static_cast<double>(took.count());
    learned.meanRunTimeMs += weight * (milliseconds - learned.meanRunTimeMs);
    const double ratio = milliseconds / std::max(1.0, static_cast<double>(estimate.count()));
    learned.meanEstimateRatio += weight
        * (std::min(ratio, kMaxEstimateRatio) - learned.meanEstimateRatio);
}

Millis RunTimeModel::expected(const std::string &queue, const StepSpec &step) const
{
    const auto found = m_queues.find(queue);
    if (found == m_queues.end() || found->second.observations == 0)
        return step.estimate;
    const QueueStatistics &learned = found->second;
    const double told = static_cast<double>(step.estimate.count()) * learned.meanEstimateRatio;
    return Millis(static_cast<Millis::rep>((told + learned.meanRunTimeMs) / 2));
}

Millis RunTimeModel::longest(const std::string &queue, const StepSpec &step) const
{
    // Tasks of a step differ by up to a third; the more there are, the nearer one comes to that.
    const double spread = step.count == 1 ? 1 : step.count < kManyTasks ? 1.12 : 1.22;
    const Millis typical = expected(queue, step);
    return Millis(static_cast<Millis::rep>(static_cast<double>(typical.count()) * spread));
}

void RunTimeModel::observeWork(const std::string &queue, double coreSeconds)
{
    QueueStatistics &learned = m_queues[queue];
    learned.meanJobWork += (learned.meanJobWork == 0 ? 1 : kObservationWeight)
        * (coreSeconds - learned.meanJobWork);
}

double RunTimeModel::meanWork(const std::string &queue) const
{
    const auto found = m_queues.find(queue);
    return found == m_queues.end() ? 0 : found->second.meanJobWork;
}

} // namespace oleanderhall
