#pragma once

#include "oleanderhall/core/time.h"
#include "oleanderhall/jobs/resources.h"
#include "oleanderhall/scheduling/jobrank.h"

#include <concepts>

namespace oleanderhall {

/// A waiting step as ordering policies see it.
struct StepStanding
{
    /// Classes of steps, which no policy mixes; the lowest is placed first.
    enum class Class {
        LongRunning, ///< Tasks that run until they are cancelled must not wait for others.
        Ordinary,
        OverRate ///< Its team sent the job beyond its rate.
    };

    Class stepClass = Class::Ordinary;
    JobRank rank;
    Instant accepted; ///< When the job was accepted.
    Millis slack{0}; ///< Until the job can't meet its objective any more; negative once it is late.
};

/// What a team uses of a pool, as ordering policies see it.
struct TeamStanding
{
    double weight = 1;
    Resources running;
    Resources capacity; ///< Of the pool.
};

/// An OrderingPolicy decides in which order the steps of several teams are placed in a pool:
/// isBefore() orders the steps of one team, and among the first steps of all teams the one with the
/// lowest keyOf() is next.
template <typename Policy>
concept OrderingPolicy = requires(const StepStanding &step, const TeamStanding &team)
{
    {
        Policy::isBefore(step, step)
        } -> std::same_as<bool>;
    {
        Policy::keyOf(team, step)
        } -> std::same_as<double>;
};

/// Weighted dominant-resource fairness: the team that uses the smallest share of its scarcest
/// resource, relative to its weight, is next. Steps of a team are ordered by JobRank.
struct WeightedFairShare
{
    static bool isBefore(const StepStanding &a, const StepStanding &b) { return a.rank < b.rank; }
    static double keyOf(const TeamStanding &team, const StepStanding &step);
};

/// The job that was accepted first is next, whose team has no influence.
struct FirstComeFirstServed
{
    static bool isBefore(const StepStanding &a, const StepStanding &b)
    {
        return a.accepted < b.accepted;
    }
    static double keyOf(const TeamStanding &team, const StepStanding &step);
};

/// The job that has the least time left to meet its objective is next.
struct LeastSlackFirst
{
    static bool isBefore(const StepStanding &a, const StepStanding &b) { return a.slack < b.slack; }
    static double keyOf(const TeamStanding &team, const StepStanding &step);
};

/// Returns the largest share that the team uses of one of the pool's resources, from 0 to 1.
double dominantShare(const TeamStanding &team);

} // namespace oleanderhall
