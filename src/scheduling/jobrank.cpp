#include "oleanderhall/scheduling/jobrank.h"

#include <algorithm>

namespace oleanderhall {

namespace {

/// The platform specifies that a job's result is useless after this many times its objective.
constexpr double kExpiredAfterObjectives = 3;
// The platform specifies the value of a job: a fixed part plus a part in proportion to its size,
// limited for large jobs.
constexpr double kFixedValue = 0.3;
constexpr double kMaxValue = 4;
constexpr double kMinWorkCoreSeconds = 0.001; // avoids division by zero

double seconds(Millis time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

JobRank rankOf(const JobRankInputs &inputs)
{
    if (inputs.isLongRunning)
        return {.priority = -1};
    const double objective = inputs.stretch * seconds(inputs.criticalPath)
        + seconds(inputs.allowance);
    const double finish = seconds(inputs.age) + seconds(inputs.criticalPathLeft);
    JobRank rank{.priority = inputs.priority};
    if (finish > kExpiredAfterObjectives * objective) {
        rank.timeliness = JobRank::Timeliness::Expired;
        rank.negatedValueDensity = -seconds(inputs.age); // the oldest first, so that none starves
        return rank;
    }
    rank.timeliness = finish <= objective ? JobRank::Timeliness::InTime : JobRank::Timeliness::Late;
    const double size = inputs.totalWork / std::max(inputs.meanWork, kMinWorkCoreSeconds);
    const double value = std::min(kMaxValue, kFixedValue + (1 - kFixedValue) * size);
    rank.negatedValueDensity = -value / std::max(inputs.workLeft, kMinWorkCoreSeconds);
    return rank;
}

} // namespace oleanderhall
