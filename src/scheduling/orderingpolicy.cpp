#include "oleanderhall/scheduling/orderingpolicy.h"

#include <algorithm>

namespace oleanderhall {

namespace {

double share(std::int64_t used, std::int64_t capacity)
{
    return capacity <= 0 ? 0 : static_cast<double>(used) / static_cast<double>(capacity);
}

} // namespace

double dominantShare(const TeamStanding &team)
{
    return std::max({share(team.running.milliCores, team.capacity.milliCores),
                     share(team.running.memoryMb, team.capacity.memoryMb),
                     share(team.running.gpus, team.capacity.gpus)});
}

double WeightedFairShare::keyOf(const TeamStanding &team, const StepStanding &)
{
    return dominantShare(team) / team.weight;
}

double FirstComeFirstServed::keyOf(const TeamStanding &, const StepStanding &step)
{
    return std::chrono::duration<double>(step.accepted.time_since_epoch()).count();
}

double LeastSlackFirst::keyOf(const TeamStanding &, const StepStanding &step)
{
    return std::chrono::duration<double>(step.slack).count();
}

} // namespace oleanderhall
