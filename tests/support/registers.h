#pragma once

#include "oleanderhall/register/register.h"

namespace oleanderhall::test {

/// Returns a register with two pools of six hosts each, in three zones with two racks each. Pool
/// "a" runs the service "alpha" and pool "b" the service "beta".
inline Register smallRegister()
{
    Register result;
    for (const std::string pool : {"a", "b"}) {
        for (int index = 0; index < 6; ++index) {
            const std::string zone = "z" + std::to_string(index % 3);
            const int number = (pool == "a" ? 0 : 100) + index + 1;
            HostSpec spec{.id = HostId(pool + std::to_string(index)),
                          .zone = ZoneId(zone),
                          .rack = RackId(zone + "-r" + std::to_string(index / 3)),
                          .pool = PoolId(pool),
                          .address = "127.0.0." + std::to_string(number),
                          .cores = 64,
                          .memoryGb = 128};
            result.hosts.emplace(spec.id, spec);
        }
        PoolRule rule{
            .id = PoolId(pool), .minAvailable = 4, .maxUnavailable = 2, .maxDisruptedRacks = 2};
        result.pools.emplace(rule.id, rule);
        ServiceRule service{.id = ServiceId(pool == "a" ? "alpha" : "beta"),
                            .pool = PoolId(pool),
                            .instances = 4,
                            .port = static_cast<std::uint16_t>(pool == "a" ? 7001 : 7002)};
        result.services.emplace(service.id, service);
    }
    result.wave.returnTimeout = Millis(20000);
    return result;
}

} // namespace oleanderhall::test
