#include "oleanderhall/register/registerpatch.h"

namespace oleanderhall {

namespace {

template <typename Id, typename Item>
void collectDifference(const std::map<Id, Item> &before, const std::map<Id, Item> &after,
                       std::vector<Item> &changed, std::vector<Id> &removed)
{
    for (const auto &[id, item] : after) {
        const auto found = before.find(id);
        if (found == before.end() || !(found->second == item))
            changed.push_back(item);
    }
    for (const auto &[id, item] : before) {
        if (!after.contains(id))
            removed.push_back(id);
    }
}

template <typename Id, typename Item>
void applyDifference(std::map<Id, Item> &target, const std::vector<Item> &changed,
                     const std::vector<Id> &removed)
{
    for (const Item &item : changed)
        target.insert_or_assign(item.id, item);
    for (const Id &id : removed)
        target.erase(id);
}

} // namespace

bool RegisterPatch::empty() const
{
    return hosts.empty() && removedHosts.empty() && pools.empty() && removedPools.empty()
        && services.empty() && removedServices.empty() && wave.empty();
}

RegisterPatch difference(const Register &before, const Register &after)
{
    RegisterPatch patch;
    collectDifference(before.hosts, after.hosts, patch.hosts, patch.removedHosts);
    collectDifference(before.pools, after.pools, patch.pools, patch.removedPools);
    collectDifference(before.services, after.services, patch.services, patch.removedServices);
    if (!(before.wave == after.wave))
        patch.wave.push_back(after.wave);
    return patch;
}

void applyPatch(Register &target, const RegisterPatch &patch)
{
    applyDifference(target.hosts, patch.hosts, patch.removedHosts);
    applyDifference(target.pools, patch.pools, patch.removedPools);
    applyDifference(target.services, patch.services, patch.removedServices);
    if (!patch.wave.empty())
        target.wave = patch.wave.back();
}

} // namespace oleanderhall
