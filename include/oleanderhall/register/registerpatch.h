#pragma once

#include "oleanderhall/register/register.h"

#include <vector>

namespace oleanderhall {

/// The difference between two registers: the items to set and the ids of the items to remove.
struct RegisterPatch
{
    std::vector<HostSpec> hosts;
    std::vector<HostId> removedHosts;
    std::vector<PoolRule> pools;
    std::vector<PoolId> removedPools;
    std::vector<ServiceRule> services;
    std::vector<ServiceId> removedServices;
    std::vector<WaveRule> wave; ///< The new rule, or empty if it is unchanged.

    bool empty() const;
    friend bool operator==(const RegisterPatch &, const RegisterPatch &) = default;
};

/// Returns the patch that turns `before` into `after`.
RegisterPatch difference(const Register &before, const Register &after);

/// Applies `patch` to `target`. Idempotent.
void applyPatch(Register &target, const RegisterPatch &patch);

} // namespace oleanderhall
