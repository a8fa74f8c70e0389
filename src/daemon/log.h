#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace oleanderhall {

/// Internal: the fields of one structured log line.
using LogFields = std::initializer_list<std::pair<std::string_view, std::string>>;

/// Internal: sets up logging to standard output; `host` stands in every line.
void startLog(const std::string &host);
/// Internal: writes one line of JSON for an event of normal operation.
void logInfo(std::string_view event, LogFields fields = {});
/// Internal: writes one line of JSON for an event that an operator should look at.
void logWarning(std::string_view event, LogFields fields = {});

} // namespace oleanderhall
