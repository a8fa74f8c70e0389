#include "oleanderhall/register/registerparser.h"

namespace oleanderhall {

using web::json::value;

namespace {

template <typename Items>
value arrayOf(const Items &items)
{
    value result = value::array(items.size());
    std::size_t index = 0;
    for (const auto &item : items)
        result[index++] = toJson(item);
    return result;
}

template <typename Ids>
value namesOf(const Ids &ids)
{
    value result = value::array(ids.size());
    std::size_t index = 0;
    for (const auto &id : ids)
        result[index++] = value::string(id.name());
    return result;
}

} // namespace

value toJson(const HostSpec &spec)
{
    value result = value::object();
    result["id"] = value::string(spec.id.name());
    result["zone"] = value::string(spec.zone.name());
    result["rack"] = value::string(spec.rack.name());
    result["pool"] = value::string(spec.pool.name());
    result["address"] = value::string(spec.address);
    result["cores"] = value::number(spec.cores);
    result["memoryGb"] = value::number(spec.memoryGb);
    return result;
}

value toJson(const PoolRule &rule)
{
    value result = value::object();
    result["id"] = value::string(rule.id.name());
    result["minAvailable"] = value::number(rule.minAvailable);
    result["maxUnavailable"] = value::number(rule.maxUnavailable);
    result["maxDisruptedRacks"] = value::number(rule.maxDisruptedRacks);
    return result;
}

value toJson(const ServiceRule &rule)
{
    value result = value::object();
    result["id"] = value::string(rule.id.name());
    result["pool"] = value::string(rule.pool.name());
    result["instances"] = value::number(rule.instances);
    result["port"] = value::number(rule.port);
    result["slots"] = value::number(rule.slots);
    result["connections"] = value::number(rule.connections);
    result["defaultTimeoutMs"] = value::number(std::int64_t(rule.defaultTimeout.count()));
    value calls = value::array(rule.unrepeatable.size());
    for (std::size_t index = 0; index < rule.unrepeatable.size(); ++index) {
        calls[index]["method"] = value::string(rule.unrepeatable[index].method);
        calls[index]["path"] = value::string(rule.unrepeatable[index].pathPrefix);
    }
    result["unrepeatable"] = calls;
    value statuses = value::array(rule.notExecutedStatuses.size());
    for (std::size_t index = 0; index < rule.notExecutedStatuses.size(); ++index)
        statuses[index]["status"] = value::number(rule.notExecutedStatuses[index]);
    result["notRunStatuses"] = statuses;
    return result;
}

value toJson(const WaveRule &rule)
{
    value result = value::object();
    result["firstBatch"] = value::number(rule.firstBatch);
    result["maxFailures"] = value::number(rule.maxFailures);
    result["returnTimeoutMs"] = value::number(std::int64_t(rule.returnTimeout.count()));
    return result;
}

value toJson(const RegisterPatch &patch)
{
    value result = value::object();
    result["hosts"] = arrayOf(patch.hosts);
    result["removedHosts"] = namesOf(patch.removedHosts);
    result["pools"] = arrayOf(patch.pools);
    result["removedPools"] = namesOf(patch.removedPools);
    result["services"] = arrayOf(patch.services);
    result["removedServices"] = namesOf(patch.removedServices);
    if (!patch.wave.empty())
        result["wave"] = toJson(patch.wave.back());
    return result;
}

value toJson(const Register &source)
{
    RegisterPatch patch = difference(Register{}, source);
    patch.wave = {source.wave};
    return toJson(patch);
}

} // namespace oleanderhall
