#pragma once

#include "oleanderhall/core/time.h"

#include <algorithm>

namespace oleanderhall {

/// The processor time, in cores, that an owner needs. An owner used up to 0.15 cores with 349 hosts
/// (docs/CAPACITY.md).
inline constexpr double kSufficientCores = 0.2;

/// An average lag of the event loop above this shows that a process can't keep up with its work:
/// it sends commands and renews its lease noticeably late.
inline constexpr Millis kMaxLoopLag{150};

/// What a process can do as the owner.
struct Candidate
{
    double processorCores = 0;
    Millis loopLag{0}; ///< The measured average lag of its event loop.

    bool isBehind() const { return loopLag > kMaxLoopLag; }

    /// Returns the measure by which candidates are ranked, in cores. All processes that have
    /// sufficient processor time and keep up are equal, so that ownership doesn't move between
    /// them.
    double capability() const
    {
        return std::min(processorCores, isBehind() ? kMaxCoresIfBehind : kSufficientCores);
    }

private:
    /// Ranks a large host that can't keep up below those that do, and above the smallest hosts.
    static constexpr double kMaxCoresIfBehind = 0.15;
};

/// Returns whether `other` is clearly more capable than `self`, both as of Candidate::capability().
/// Measured shares differ slightly between equal hosts.
inline bool isOutranked(double self, double other)
{
    constexpr double kEqualRatio = 0.9;
    return self < other * kEqualRatio;
}

} // namespace oleanderhall
