#include "oleanderhall/rollout/logcodec.h"

#include "oleanderhall/core/errors.h"
#include "oleanderhall/register/registerparser.h"

#include <algorithm>
#include <cstdio>

namespace oleanderhall {

namespace {

constexpr std::string_view kReferenceStart = "{\"object\":\"";
constexpr std::string_view kReferenceEnd = "\"}";

const ConfigChange *configChangeOf(const LogEntry &entry)
{
    for (const Change &change : entry.changes) {
        if (const auto *config = std::get_if<ConfigChange>(&change))
            return config;
    }
    return nullptr;
}

std::optional<TableWrite> writeForChange(const Change &change, const LogHead &next)
{
    TableWrite write{.version = next.sequence.value};
    if (const auto *host = std::get_if<HostChange>(&change)) {
        write.key = {"host", host->record.id.name()};
        write.data = toJson(host->record).serialize();
    } else if (const auto *removal = std::get_if<HostRemoval>(&change)) {
        write.kind = TableWrite::Kind::Delete;
        write.key = {"host", removal->host.name()};
    } else if (const auto *wave = std::get_if<WaveChange>(&change)) {
        write.key = {"wave", wave->record.pool.name()};
        write.data = toJson(wave->record).serialize();
    } else if (const auto *config = std::get_if<ConfigChange>(&change)) {
        if (next.baseVersion == config->version)
            return std::nullopt; // The new base configuration already contains the patch.
        write.key = {"config", rowOf(Sequence{config->version.value})};
        write.data = toJson(config->patch).serialize();
    }
    return write;
}

template <typename Parse>
auto parseRow(const std::string &data, const std::string &name, const Parse &parse)
{
    FindingList findings;
    const web::json::value json = parseJson(data, name);
    auto result = parse(JsonCursor(json, name, "", findings));
    if (!findings.empty())
        throw InvalidDocument(std::move(findings));
    return result;
}

} // namespace

TableKey headKey()
{
    return {"head", "log"};
}

std::string rowOf(Sequence sequence)
{
    constexpr int kDigits = 20; // enough for the largest 64-bit number
    std::string digits = std::to_string(sequence.value);
    return std::string(kDigits - digits.size(), '0') + digits;
}

std::string entryKey(const LogEntry &entry)
{
    return "entry-" + entry.operation;
}

LogHead nextHead(const LogHead &head, const LogEntry &entry)
{
    LogHead next = head;
    next.sequence = entry.sequence;
    if (const ConfigChange *config = configChangeOf(entry))
        next.configVersion = std::max(head.configVersion, config->version);
    return next;
}

std::optional<std::string> newBaseKey(const LogEntry &entry, const LogHead &head, bool isLarge)
{
    const ConfigChange *config = configChangeOf(entry);
    if (!config)
        return std::nullopt;
    const bool isDue = config->version.value >= head.baseVersion.value + kVersionsPerBase;
    if (!head.baseKey.empty() && !isDue && !isLarge)
        return std::nullopt;
    return "config-" + std::to_string(config->version.value) + "-" + entry.operation;
}

std::vector<TableWrite> writesFor(const LogEntry &entry, const std::string &data,
                                  const LogHead &head, const LogHead &next)
{
    std::vector<TableWrite> writes;
    writes.push_back({.key = headKey(),
                      .expectedVersion = head.sequence.value,
                      .version = next.sequence.value,
                      .data = encodeHead(next)});
    writes.push_back({.key = {kLogPartition, rowOf(entry.sequence)},
                      .expectedVersion = TableWrite::kAbsent,
                      .version = next.sequence.value,
                      .data = data});
    for (const Change &change : entry.changes) {
        if (auto changeWrite = writeForChange(change, next))
            writes.push_back(std::move(*changeWrite));
    }
    return writes;
}

std::string encodeReference(const std::string &key)
{
    return std::string(kReferenceStart) + key + std::string(kReferenceEnd);
}

std::optional<std::string> referenceIn(const std::string &data)
{
    if (!data.starts_with(kReferenceStart) || !data.ends_with(kReferenceEnd))
        return std::nullopt;
    const std::size_t length = data.size() - kReferenceStart.size() - kReferenceEnd.size();
    return data.substr(kReferenceStart.size(), length);
}

HostRecord parseHostRow(const std::string &data, Sequence changedAt)
{
    HostRecord record = parseRow(data, "host row", parseHostRecord);
    record.changedAt = changedAt;
    return record;
}

WaveRecord parseWaveRow(const std::string &data)
{
    return parseRow(data, "wave row", parseWaveRecord);
}

RegisterPatch parsePatchText(const std::string &data)
{
    return parseRow(data, "configuration", parseRegisterPatch);
}

} // namespace oleanderhall
