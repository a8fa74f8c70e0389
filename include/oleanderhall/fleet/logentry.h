#pragma once

#include "oleanderhall/core/finding.h"
#include "oleanderhall/core/jsoncursor.h"
#include "oleanderhall/fleet/change.h"

#include <string>
#include <vector>

namespace oleanderhall {

/// A LogEntry is one committed decision: who took it, why, and what it changed. The entry with
/// sequence n was decided on the state after entry n - 1.
struct LogEntry
{
    Sequence sequence;
    EntryId actor;
    std::string operation; ///< Names the attempt, to recognise it when an answer is lost.
    std::string reason;
    std::vector<Change> changes;

    friend bool operator==(const LogEntry &, const LogEntry &) = default;
};

web::json::value toJson(const HostRecord &record);
web::json::value toJson(const WaveRecord &record);
web::json::value toJson(const LogEntry &entry);

HostRecord parseHostRecord(const JsonCursor &cursor);
WaveRecord parseWaveRecord(const JsonCursor &cursor);
/// Parses what toJson(LogEntry) wrote. Throws InvalidDocument with all findings; never returns a
/// part of an entry.
LogEntry parseLogEntry(const std::string &text);

} // namespace oleanderhall
