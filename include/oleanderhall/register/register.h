#pragma once

#include "oleanderhall/register/hostspec.h"
#include "oleanderhall/register/poolrule.h"
#include "oleanderhall/register/servicerule.h"
#include "oleanderhall/register/waverule.h"

#include <map>

namespace oleanderhall {

/// The accepted configuration: the hosts of the asset register and the rules for them.
struct Register
{
    std::map<HostId, HostSpec> hosts;
    std::map<PoolId, PoolRule> pools;
    std::map<ServiceId, ServiceRule> services;
    WaveRule wave;

    friend bool operator==(const Register &, const Register &) = default;
};

} // namespace oleanderhall
