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

JobRank rankOf(const JobRankInputs &facts)
{
    if (facts.isLongRunning)
        return {.priority = -1};
    const double objective = facts.stretch * seconds(facts.criticalPath) + seconds(facts.allowance);
    const double finish = seconds(facts.age) + seconds(facts.criticalPathLeft);
    JobRank rank{.priority = facts.priority};
    if (finish > kExpiredAfterObjectives * objective) {
        rank.timeliness = JobRank::Timeliness::Expired;
        rank.negatedValueDensity = -seconds(facts.age); // the oldest first, so that none starves
        return rank;
    }
    rank.timeliness = finish <= objective ? JobRank::Timeliness::InTime : JobRank::Timeliness::Late;
    const double size = facts.totalWork / std::max(facts.meanWork, kMinWorkCoreSeconds);
    const double value = std::min(kMaxValue, kFixedValue + (1 - kFixedValue) * size);
    rank.negatedValueDensity = -value / std::max(facts.workLeft, kMinWorkCoreSeconds);
    return rank;
}

} // namespace oleanderhall
