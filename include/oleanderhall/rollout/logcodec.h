#pragma once

#include "oleanderhall/fleet/logentry.h"
#include "oleanderhall/platform/tabletypes.h"
#include "oleanderhall/rollout/loghead.h"

#include <optional>
#include <string>
#include <vector>

// Internal to ChangeLog: how entries, rows and heads lie in the table.
namespace oleanderhall {

inline constexpr const char *kLogPartition = "log";
inline constexpr std::size_t kMaxInlineBytes = 200000; // below the table's limit for an item
inline constexpr std::uint64_t kVersionsPerBase = 32; // configurations between two whole ones

TableKey headKey();
/// Returns the row of an entry; rows sort in the order of their sequence.
std::string rowOf(Sequence sequence);
std::string entryKey(const LogEntry &entry);
/// Returns the head after `entry`, its base unchanged.
LogHead nextHead(const LogHead &head, const LogEntry &entry);
/// Returns the key for a new whole configuration when `entry` should write one.
std::optional<std::string> newBaseKey(const LogEntry &entry, const LogHead &head, bool isLarge);
std::vector<TableWrite> writesFor(const LogEntry &entry, const std::string &data,
                                  const LogHead &head, const LogHead &next);
std::string encodeReference(const std::string &key);
std::optional<std::string> referenceIn(const std::string &data);
HostRecord parseHostRow(const std::string &data, Sequence changedAt);
WaveRecord parseWaveRow(const std::string &data);
RegisterPatch parsePatchText(const std::string &data);

} // namespace oleanderhall
