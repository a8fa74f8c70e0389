#pragma once

#include "oleanderhall/core/findinglist.h"

#include <CLI/CLI.hpp>

#include <cctype>
#include <iostream>
#include <optional>
#include <string>

namespace oleanderhall {

// Internal: command line parsing shared by the daemons.

/// Internal: the exit code of a daemon whose settings are invalid.
inline constexpr int kInvalidSettings = 2;
/// Internal: the `file` of findings about settings.
inline constexpr const char *kSettingsSource = "settings";

/// Internal: adds an option whose help text shows its default, and which can also be set by an
/// environment variable: OLEANDERHALL_ and the flag's name in capitals, with '_' for '-'.
template <typename Value>
void addOption(CLI::App &app, const char *flag, Value &target, const char *help)
{
    std::string name = std::string("OLEANDERHALL_") + (flag + 2); // Without the leading "--"
    for (char &character : name)
        character = character == '-' ? '_' : static_cast<char>(std::toupper(character));
    app.add_option(flag, target, help)->capture_default_str()->envname(name);
}

/// Internal: parses the command line with the options that `addOptions` adds, then calls `fill`,
/// which validates the raw values and fills the settings. Returns nothing if the program should
/// exit, and sets `exitCode` to the exit code. Prints all findings to standard error.
template <typename Settings, typename Raw, typename AddOptions, typename Fill>
std::optional<Settings> parseCommandLine(const char *title, int argc, const char *const *argv,
                                         int &exitCode, AddOptions addOptions, Fill fill)
{
    CLI::App app{title};
    Raw raw;
    Settings settings;
    addOptions(app, raw, settings);
    try {
        app.parse(argc, const_cast<char **>(argv));
    } catch (const CLI::ParseError &error) {
        exitCode = app.exit(error) == 0 ? 0 : kInvalidSettings;
        return std::nullopt;
    }
    FindingList findings;
    fill(settings, raw, findings);
    if (!findings.empty()) {
        std::cerr << findings.text();
        exitCode = kInvalidSettings;
        return std::nullopt;
    }
    return settings;
}

} // namespace oleanderhall
