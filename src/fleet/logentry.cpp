#include "oleanderhall/fleet/logentry.h"

#include "oleanderhall/core/errors.h"
#include "oleanderhall/register/registerparser.h"

#include <limits>

namespace oleanderhall {

using web::json::value;

namespace {

constexpr std::size_t kMaxReasonLength = 65536; // bytes
constexpr std::int64_t kLargestNumber = std::numeric_limits<std::int64_t>::max();

value toJson(const InstanceRecord &instance)
{
    value result = value::object();
    result["service"] = value::string(instance.service.name());
    result["state"] = value::string(std::string(nameOf(instance.state)));
    return result;
}

value changeToJson(const Change &change)
{
    value result = value::object();
    if (const auto *config = std::get_if<ConfigChange>(&change)) {
        result["configVersion"] = value::number(config->version.value);
        result["patch"] = toJson(config->patch);
    } else if (const auto *host = std::get_if<HostChange>(&change)) {
        result["host"] = toJson(host->record);
    } else if (const auto *removal = std::get_if<HostRemoval>(&change)) {
        result["removedHost"] = value::string(removal->host.name());
    } else if (const auto *wave = std::get_if<WaveChange>(&change)) {
        result["wave"] = toJson(wave->record);
    }
    return result;
}

template <typename Enum>
Enum parseEnum(const JsonCursor &cursor, std::string_view key,
               std::optional<Enum> (*from)(std::string_view), Enum fallback)
{
    const std::string name = cursor.text(key);
    const std::optional<Enum> result = from(name);
    if (!result)
        cursor.report(key, "'" + name + "' is not known", "a value of the schema");
    return result.value_or(fallback);
}

std::uint64_t parseCount(const JsonCursor &cursor, std::string_view key)
{
    return static_cast<std::uint64_t>(cursor.number(key, 0, kLargestNumber));
}

ConfigChange parseConfigChange(const JsonCursor &cursor)
{
    ConfigChange change;
    change.version = {parseCount(cursor, "configVersion")};
    cursor.ifPresent(
        "patch", [&change](const JsonCursor &patch) { change.patch = parseRegisterPatch(patch); });
    return change;
}

void parseChange(const JsonCursor &cursor, std::vector<Change> &changes)
{
    cursor.allowOnly({"configVersion", "patch", "host", "removedHost", "wave"});
    if (!cursor.value().is_object())
        return;
    if (cursor.value().has_field("configVersion"))
        changes.push_back(parseConfigChange(cursor));
    else if (cursor.value().has_field("removedHost"))
        changes.push_back(HostRemoval{HostId(cursor.text("removedHost"))});
    cursor.ifPresent("host", [&changes](const JsonCursor &host) {
        changes.push_back(HostChange{parseHostRecord(host)});
    });
    cursor.ifPresent("wave", [&changes](const JsonCursor &wave) {
        changes.push_back(WaveChange{parseWaveRecord(wave)});
    });
}

} // namespace

value toJson(const HostRecord &record)
{
    value result = value::object();
    result["id"] = value::string(record.id.name());
    result["pool"] = value::string(record.pool.name());
    result["state"] = value::string(std::string(nameOf(record.state)));
    result["epoch"] = value::number(record.epoch.value);
    result["disruption"] = value::string(std::string(nameOf(record.disruption)));
    if (!record.wave.empty())
        result["wave"] = value::string(record.wave.name());
    value instances = value::array(record.instances.size());
    for (std::size_t index = 0; index < record.instances.size(); ++index)
        instances[index] = toJson(record.instances[index]);
    result["instances"] = instances;
    return result;
}

value toJson(const WaveRecord &record)
{
    value result = value::object();
    result["id"] = value::string(record.id.name());
    result["pool"] = value::string(record.pool.name());
    result["status"] = value::string(std::string(nameOf(record.status)));
    result["reason"] = value::string(record.reason);
    return result;
}

value toJson(const LogEntry &entry)
{
    value result = value::object();
    result["sequence"] = value::number(entry.sequence.value);
    result["actor"] = value::string(entry.actor.name());
    result["operation"] = value::string(entry.operation);
    result["reason"] = value::string(entry.reason);
    value changes = value::array(entry.changes.size());
    for (std::size_t index = 0; index < entry.changes.size(); ++index)
        changes[index] = changeToJson(entry.changes[index]);
    result["changes"] = changes;
    return result;
}

HostRecord parseHostRecord(const JsonCursor &cursor)
{
    cursor.allowOnly({"id", "pool", "state", "epoch", "disruption", "wave", "instances"});
    HostRecord record{
        .id = HostId(cursor.text("id")),
        .pool = PoolId(cursor.text("pool")),
        .state = parseEnum(cursor, "state", hostStateFrom, HostState::Failed),
        .epoch = {parseCount(cursor, "epoch")},
        .disruption = parseEnum(cursor, "disruption", disruptionFrom, Disruption::None),
        .wave = WaveId(cursor.textOr("wave", "")),
    };
    cursor.forEach("instances", true, [&record](const JsonCursor &instance) {
        instance.allowOnly({"service", "state"});
        record.instances.push_back(
            {.service = ServiceId(instance.text("service")),
             .state = parseEnum(instance, "state", instanceStateFrom, InstanceState::Starting)});
    });
    return record;
}

WaveRecord parseWaveRecord(const JsonCursor &cursor)
{
    cursor.allowOnly({"id", "pool", "status", "reason"});
    return {
        .id = WaveId(cursor.text("id")),
        .pool = PoolId(cursor.text("pool")),
        .status = parseEnum(cursor, "status", waveStatusFrom, WaveStatus::Stopped),
        .reason = cursor.textOr("reason", ""),
    };
}

LogEntry parseLogEntry(const std::string &text)
{
    FindingList findings;
    const value json = parseJson(text, "log");
    const JsonCursor cursor(json, "log", "", findings);
    cursor.allowOnly({"sequence", "actor", "operation", "reason", "changes"});
    LogEntry entry{
        .sequence = {parseCount(cursor, "sequence")},
        .actor = EntryId(cursor.text("actor")),
        .operation = cursor.text("operation"),
        .reason = cursor.text("reason", kMaxReasonLength),
    };
    cursor.forEach("changes", true,
                   [&entry](const JsonCursor &change) { parseChange(change, entry.changes); });
    if (!findings.empty())
        throw InvalidDocument(std::move(findings));
    return entry;
}

} // namespace oleanderhall
