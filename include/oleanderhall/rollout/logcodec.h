#pragma once

#include "oleanderhall/fleet/logentry.h"
#include "oleanderhall/platform/tabletypes.h"
#include "oleanderhall/rollout/loghead.h"

#include <optional>
#include <string>
#include <vector>

// Internal to ChangeLog: the encoding of log entries, rows and the head in the table.
namespace oleanderhall {

inline constexpr const char *kLogPartition = "log";
/// Larger entries are stored as objects, to stay below the table's size limit for an item.
inline constexpr std::size_t kMaxInlineBytes = 200000;
/// Configuration versions between two full copies; the versions in between are stored as patches.
inline constexpr std::uint64_t kVersionsPerBase = 32;

TableKey headKey();
/// Returns the row key of an entry. Keys sort in the order of the sequences.
std::string rowOf(Sequence sequence);
/// Returns the key of the object that holds an entry too large for its row.
std::string entryKey(const LogEntry &entry);
/// Returns the head after `entry`, with the base configuration of `head`.
LogHead nextHead(const LogHead &head, const LogEntry &entry);
/// Returns the object key for a new base configuration if `entry` must store one: if there is none
/// yet, if kVersionsPerBase is reached, or if the entry is too large for its row.
std::optional<std::string> newBaseKey(const LogEntry &entry, const LogHead &head, bool isLarge);
/// Returns the writes of the transaction that appends `entry`: the head, the entry itself with its
/// encoded `data`, and the changed rows.
std::vector<TableWrite> writesFor(const LogEntry &entry, const std::string &data,
                                  const LogHead &head, const LogHead &next);
/// Returns the row data that refers to the object with `key`.
std::string encodeReference(const std::string &key);
/// Returns the object key if `data` was written by encodeReference(), otherwise nothing.
std::optional<std::string> referenceIn(const std::string &data);
/// Each of these parses the data of a row. Throws InvalidDocument with all findings.
HostRecord parseHostRow(const std::string &data, Sequence changedAt);
WaveRecord parseWaveRow(const std::string &data);
RegisterPatch parsePatchText(const std::string &data);

} // namespace oleanderhall
