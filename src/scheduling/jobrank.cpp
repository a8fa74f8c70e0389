#include "oleanderhall/scheduling/jobrank.h"

#include <algorithm>

namespace oleanderhall {

namespace {

/// After this many times its objective, a late job is of no use to its caller (the platform's
/// word).
constexpr double kExpiredAfterObjectives = 3;
// Of a job's worth, a part does not depend on its size, and large ones are capped (the platform's
// word).
constexpr double kFixedValue = 0.3;
constexpr double kMaxValue = 4;
constexpr double kMinWorkCoreSeconds = 0.001; // core-seconds; keeps divisions finite

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
        rank.negatedValueDensity = -seconds(
            facts.age); // the oldest first, so that each has its turn
        return rank;
    }
    rank.timeliness = finish <= objective ? JobRank::Timeliness::InTime : JobRank::Timeliness::Late;
    const double size = facts.totalWork / std::max(facts.meanWork, kMinWorkCoreSeconds);
    const double worth = std::min(kMaxValue, kFixedValue + (1 - kFixedValue) * size);
    rank.negatedValueDensity = -worth / std::max(facts.workLeft, kMinWorkCoreSeconds);
    return rank;
}

} // namespace oleanderhall
