#include "oleanderhall/fleet/observations.h"

#include <algorithm>

namespace oleanderhall {

bool hasLostInstances(const HostRecord &record, const Observations &observations)
{
    const HostObservation host = observations.currentFor(record);
    if (host.health != Health::Healthy)
        return false;
    if (host.workerEpoch < record.epoch)
        return true;
    return std::any_of(
        record.instances.begin(), record.instances.end(), [&host](const InstanceRecord &instance) {
            return instance.state == InstanceState::Ready
                && std::find(host.running.begin(), host.running.end(), instance.service)
                == host.running.end();
        });
}

} // namespace oleanderhall
