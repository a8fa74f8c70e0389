#pragma once

#include "oleanderhall/core/finding.h"
#include "oleanderhall/core/jsoncursor.h"
#include "oleanderhall/fleet/change.h"

#include <string>
#include <vector>

namespace oleanderhall {

/// A decision in the change log: who made it, why, and what it changes. The entry with sequence n
/// was decided on the state after entry n - 1.
struct LogEntry
{
    Sequence sequence;
    EntryId actor;
    std::string operation; ///< Unique id by which the entry is recognized if the response is lost.
    std::string reason;
    std::vector<Change> changes;

    friend bool operator==(const LogEntry &, const LogEntry &) = default;
};

web::json::value toJson(const HostRecord &record);
web::json::value toJson(const WaveRecord &record);
web::json::value toJson(const LogEntry &entry);

/// Parses the object at `cursor`. Records a finding for each invalid member.
HostRecord parseHostRecord(const JsonCursor &cursor);
/// Parses the object at `cursor`. Records a finding for each invalid member.
WaveRecord parseWaveRecord(const JsonCursor &cursor);
/// Parses the JSON text of an entry. Throws InvalidDocument with all findings if any part of the
/// entry is invalid.
LogEntry parseLogEntry(const std::string &text);

} // namespace oleanderhall
