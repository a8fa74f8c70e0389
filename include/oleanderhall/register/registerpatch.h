#pragma once

#include "oleanderhall/register/register.h"

#include <vector>

namespace oleanderhall {

/// A RegisterPatch is the difference between two registers: the items to set and those to remove.
struct RegisterPatch
{
    std::vector<HostSpec> hosts;
    std::vector<HostId> removedHosts;
    std::vector<PoolRule> pools;
    std::vector<PoolId> removedPools;
    std::vector<ServiceRule> services;
    std::vector<ServiceId> removedServices;
    std::vector<WaveRule> wave; ///< Empty, or the one new rule.

    bool empty() const;
    friend bool operator==(const RegisterPatch &, const RegisterPatch &) = default;
};

/// Returns the patch that turns `before` into `after`.
RegisterPatch difference(const Register &before, const Register &after);

/// Applies `patch` to `target`. Applying a patch twice gives the same register.
void applyPatch(Register &target, const RegisterPatch &patch);

} // namespace oleanderhall
