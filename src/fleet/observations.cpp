#include "oleanderhall/fleet/observations.h"

#include <algorithm>

namespace oleanderhall {

bool hasLostTasks(const HostRecord &record, const Observations &seen)
{
    const HostObservation host = seen.of(record);
    if (host.health != Health::Fit)
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
