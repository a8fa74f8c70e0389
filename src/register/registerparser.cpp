#include "oleanderhall/register/registerparser.h"

#include "oleanderhall/core/errors.h"

#include <boost/asio/ip/address.hpp>

namespace oleanderhall {

namespace {

constexpr int kMaxHostsPerPool = 100000;
constexpr int kMaxPort = 65535;
constexpr int kMaxTimeoutMs = 600000;
constexpr int kMaxCores = 1024;
constexpr int kMaxMemoryGb = 32768;
constexpr int kMaxConnections = 65535;
constexpr int kMinErrorStatus = 400;
constexpr int kMaxErrorStatus = 599;

void checkSchema(const JsonCursor &cursor)
{
    cursor.number("schema", kSchemaVersion, kSchemaVersion);
}

template <typename Id, typename Item>
void addUnique(std::map<Id, Item> &items, Item item, const JsonCursor &cursor)
{
    const std::string name = item.id.name();
    const Id id = item.id;
    if (!items.emplace(id, std::move(item)).second)
        cursor.report("id", "'" + name + "' is used more than once", "a unique id");
}

template <typename Id>
void parseNames(const JsonCursor &cursor, std::string_view key, std::vector<Id> &names)
{
    if (!cursor.value().is_object() || !cursor.value().has_field(std::string(key)))
        return;
    const web::json::value &array = cursor.value().at(std::string(key));
    if (!array.is_array()) {
        cursor.report(key, "is not an array", "a JSON array");
        return;
    }
    for (const web::json::value &element : array.as_array()) {
        if (!element.is_string())
            cursor.report(key, "contains a value that is not a string", "an array of strings");
        else
            names.push_back(Id(element.as_string()));
    }
}

UnrepeatableCall parseUnrepeatableCall(const JsonCursor &cursor)
{
    cursor.allowOnly({"method", "path"});
    return {.method = cursor.text("method"), .pathPrefix = cursor.text("path")};
}

std::map<PoolId, int> hostsPerPool(const Register &candidate)
{
    std::map<PoolId, int> sizes;
    for (const auto &[id, host] : candidate.hosts)
        ++sizes[host.pool];
    return sizes;
}

void checkPools(const Register &candidate, const std::string &file, FindingList &findings)
{
    const std::map<PoolId, int> sizes = hostsPerPool(candidate);
    for (const auto &[id, rule] : candidate.pools) {
        const auto found = sizes.find(id);
        const int size = found == sizes.end() ? 0 : found->second;
        const std::string location = "/pools/" + id.name();
        if (size > 0 && rule.minAvailable >= size) {
            findings.add({file, location + "/minAvailable",
                          "no host of pool '" + id.name()
                              + "' can ever be maintained: " + std::to_string(rule.minAvailable)
                              + " of " + std::to_string(size) + " hosts must stay available",
                          "at most " + std::to_string(size - 1)});
        }
        if (size == 0 && rule.minAvailable > 0) {
            findings.add({file, location, "pool '" + id.name() + "' has no hosts",
                          "at least " + std::to_string(rule.minAvailable + 1) + " hosts"});
        }
    }
}

void checkServices(const Register &candidate, const std::string &file, FindingList &findings)
{
    std::map<std::uint16_t, ServiceId> ports;
    const std::map<PoolId, int> sizes = hostsPerPool(candidate);
    for (const auto &[id, rule] : candidate.services) {
        const std::string location = "/services/" + id.name();
        if (!candidate.pools.contains(rule.pool)) {
            findings.add({file, location + "/pool", "pool '" + rule.pool.name() + "' is unknown",
                          "a pool of the rules"});
        }
        const auto [other, isNew] = ports.emplace(rule.port, id);
        if (!isNew) {
            findings.add({file, location + "/port",
                          "port " + std::to_string(rule.port) + " is already used by service '"
                              + other->second.name() + "'",
                          "a unique port for each service"});
        }
        const auto size = sizes.find(rule.pool);
        if (size == sizes.end() || rule.instances > size->second) {
            findings.add({file, location + "/instances",
                          "pool '" + rule.pool.name() + "' has fewer hosts than instances",
                          "at most one instance for each host"});
        }
    }
}

} // namespace

HostSpec parseHostSpec(const JsonCursor &cursor)
{
    cursor.allowOnly({"id", "zone", "rack", "pool", "address", "cores", "memoryGb"});
    HostSpec spec{
        .id = HostId(cursor.text("id")),
        .zone = ZoneId(cursor.text("zone")),
        .rack = RackId(cursor.text("rack")),
        .pool = PoolId(cursor.text("pool")),
        .address = cursor.text("address"),
        .cores = static_cast<std::uint16_t>(cursor.number("cores", 1, kMaxCores)),
        .memoryGb = static_cast<std::uint16_t>(cursor.number("memoryGb", 1, kMaxMemoryGb)),
    };
    boost::system::error_code error;
    boost::asio::ip::make_address(spec.address, error);
    if (error)
        cursor.report("address", "is not an IP address", "an IPv4 or IPv6 address");
    return spec;
}

PoolRule parsePoolRule(const JsonCursor &cursor)
{
    cursor.allowOnly({"id", "minAvailable", "maxUnavailable", "maxDisruptedRacks"});
    return {
        .id = PoolId(cursor.text("id")),
        .minAvailable = static_cast<int>(cursor.number("minAvailable", 0, kMaxHostsPerPool)),
        .maxUnavailable = static_cast<int>(cursor.number("maxUnavailable", 1, kMaxHostsPerPool)),
        .maxDisruptedRacks = static_cast<int>(
            cursor.numberOr("maxDisruptedRacks", 1, kMaxHostsPerPool, 1)),
    };
}

ServiceRule parseServiceRule(const JsonCursor &cursor)
{
    cursor.allowOnly({"id", "pool", "instances", "port", "slots", "connections", "defaultTimeoutMs",
                      "unrepeatable", "notRunStatuses"});
    ServiceRule rule{
        .id = ServiceId(cursor.text("id")),
        .pool = PoolId(cursor.text("pool")),
        .instances = static_cast<int>(cursor.number("instances", 1, kMaxHostsPerPool)),
        .port = static_cast<std::uint16_t>(cursor.number("port", 1, kMaxPort)),
        .slots = static_cast<int>(cursor.number("slots", 1, kMaxConnections)),
        .connections = static_cast<int>(cursor.number("connections", 1, kMaxConnections)),
        .defaultTimeout = Millis(cursor.numberOr("defaultTimeoutMs", 1, kMaxTimeoutMs, 2000)),
    };
    cursor.forEach("unrepeatable", false, [&rule](const JsonCursor &call) {
        rule.unrepeatable.push_back(parseUnrepeatableCall(call));
    });
    cursor.forEach("notRunStatuses", false, [&rule](const JsonCursor &status) {
        status.allowOnly({"status"});
        const auto code = status.number("status", kMinErrorStatus, kMaxErrorStatus);
        rule.notExecutedStatuses.push_back(static_cast<int>(code));
    });
    return rule;
}

WaveRule parseWaveRule(const JsonCursor &cursor)
{
    cursor.allowOnly({"firstBatch", "maxFailures", "returnTimeoutMs"});
    return {
        .firstBatch = static_cast<int>(cursor.numberOr("firstBatch", 1, kMaxHostsPerPool, 1)),
        .maxFailures = static_cast<int>(cursor.numberOr("maxFailures", 1, kMaxHostsPerPool, 2)),
        .returnTimeout = Millis(cursor.numberOr("returnTimeoutMs", 1, kMaxTimeoutMs, 60000)),
    };
}

RegisterPatch parseRegisterPatch(const JsonCursor &cursor)
{
    cursor.allowOnly(
        {"hosts", "removedHosts", "pools", "removedPools", "services", "removedServices", "wave"});
    RegisterPatch patch;
    cursor.forEach("hosts", false,
                   [&](const JsonCursor &item) { patch.hosts.push_back(parseHostSpec(item)); });
    cursor.forEach("pools", false,
                   [&](const JsonCursor &item) { patch.pools.push_back(parsePoolRule(item)); });
    cursor.forEach("services", false, [&](const JsonCursor &item) {
        patch.services.push_back(parseServiceRule(item));
    });
    cursor.ifPresent("wave",
                     [&](const JsonCursor &item) { patch.wave.push_back(parseWaveRule(item)); });
    parseNames(cursor, "removedHosts", patch.removedHosts);
    parseNames(cursor, "removedPools", patch.removedPools);
    parseNames(cursor, "removedServices", patch.removedServices);
    return patch;
}

void checkRegister(const Register &candidate, const std::string &file, FindingList &findings)
{
    std::map<std::string, HostId> addresses;
    for (const auto &[id, host] : candidate.hosts) {
        const std::string location = "/hosts/" + id.name();
        if (!candidate.pools.contains(host.pool)) {
            findings.add({file, location + "/pool", "pool '" + host.pool.name() + "' is unknown",
                          "a pool of the rules"});
        }
        const auto [other, isNew] = addresses.emplace(host.address, id);
        if (!isNew) {
            findings.add({file, location + "/address",
                          "address " + host.address + " is already used by host '"
                              + other->second.name() + "'",
                          "a unique address for each host"});
        }
    }
    checkPools(candidate, file, findings);
    checkServices(candidate, file, findings);
}

void checkTransition(const Register &current, const Register &candidate, FindingList &findings)
{
    std::map<std::uint16_t, ServiceId> owners;
    for (const auto &[id, rule] : current.services)
        owners.emplace(rule.port, id);
    for (const auto &[id, rule] : candidate.services) {
        const auto owner = owners.find(rule.port);
        if (owner != owners.end() && owner->second != id) {
            findings.add({"rules", "/services/" + id.name() + "/port",
                          "port " + std::to_string(rule.port) + " belongs to service '"
                              + owner->second.name() + "' in the accepted configuration",
                          "a port that no other service uses"});
        }
    }
    for (const auto &[id, host] : candidate.hosts) {
        const auto known = current.hosts.find(id);
        if (known != current.hosts.end() && known->second.address != host.address) {
            findings.add({"register", "/hosts/" + id.name() + "/address",
                          "the address of a registered host changed",
                          "removal of the host before it is added with a new address"});
        }
    }
}

Register parseRegister(const Document &hosts, const Document &rules)
{
    FindingList findings;
    Register result;
    const web::json::value hostsJson = parseJson(hosts.text, hosts.name);
    const web::json::value rulesJson = parseJson(rules.text, rules.name);
    const JsonCursor hostsCursor(hostsJson, hosts.name, "", findings);
    const JsonCursor rulesCursor(rulesJson, rules.name, "", findings);
    hostsCursor.allowOnly({"schema", "hosts"});
    rulesCursor.allowOnly({"schema", "pools", "services", "wave"});
    checkSchema(hostsCursor);
    checkSchema(rulesCursor);
    hostsCursor.forEach("hosts", true, [&result](const JsonCursor &item) {
        addUnique(result.hosts, parseHostSpec(item), item);
    });
    rulesCursor.forEach("pools", true, [&result](const JsonCursor &item) {
        addUnique(result.pools, parsePoolRule(item), item);
    });
    rulesCursor.forEach("services", true, [&result](const JsonCursor &item) {
        addUnique(result.services, parseServiceRule(item), item);
    });
    rulesCursor.ifPresent("wave",
                          [&result](const JsonCursor &item) { result.wave = parseWaveRule(item); });
    if (findings.empty())
        checkRegister(result, rules.name, findings);
    if (!findings.empty())
        throw InvalidDocument(std::move(findings));
    return result;
}

} // namespace oleanderhall
