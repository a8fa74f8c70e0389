#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace oleanderhall {

/// Internal: the fields of one structured log line.
using LogFields = std::initializer_list<std::pair<std::string_view, std::string>>;

/// Internal: sets up logging to standard output; every line contains the name `host`. Writing never
/// blocks: lines beyond kLogLinesPerSecond, and lines for which the output has no space, are
/// dropped and counted.
void startLog(const std::string &host);
/// Internal: writes one line of JSON for an event of normal operation.
void logInfo(std::string_view event, LogFields fields = {});
/// Internal: writes one line of JSON for an event that an operator should investigate.
void logWarning(std::string_view event, LogFields fields = {});
/// Internal: writes one line of JSON with a list of fields that is built at run time.
void logEvent(std::string_view event, bool isWarning,
              const std::vector<std::pair<const char *, std::string>> &fields);
/// Internal: returns the number of lines dropped since the start.
unsigned long droppedLogLines();

/// Internal: limits the volume of the log; a typical line has a few hundred bytes.
inline constexpr int kLogLinesPerSecond = 300;

} // namespace oleanderhall
