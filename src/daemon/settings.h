#pragma once

#include "oleanderhall/core/findinglist.h"
#include "oleanderhall/core/ids.h"
#include "oleanderhall/core/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace oleanderhall {

/// Internal: an IP address and a port.
struct SocketAddress
{
    std::string address;
    std::uint16_t port = 0;

    std::string text() const { return address + ":" + std::to_string(port); }
};

/// Internal: the settings of an entry host, read from flags and environment variables.
struct Settings
{
    EntryId id;
    ZoneId zone;
    SocketAddress callers;
    SocketAddress operators;
    SocketAddress peers;
    SocketAddress advertised; ///< Address at which other entry hosts reach `peers`.
    std::vector<SocketAddress>
        seeds; ///< Entry hosts to load the view from while the table is unavailable.
    std::string tableUrl;
    std::string objectsUrl;
    std::string hostListUrl;
    std::string workersUrl;
    int threads = 2;
    int maxConnections = 512;
    int maxWaiting = 64;
    int maxBodyBytes = 1 << 20;
    int maxHeaderBytes = 8192;
    int maxBufferedBytes = 8 << 20;
    Millis headerTimeout{5000};
    Millis bodyTimeout{10000};
    Millis idleTimeout{30000};
    Millis responseTimeout{10000};
    int retryPercent = 10;
    Millis tick{250};
    Millis viewLease{3000};
    Millis platformTimeout{1000};
    Millis stopNotice{1500};
    Millis stopLimit{30000};
};

/// Internal: parses flags and environment variables. Returns nothing if the program should exit,
/// and sets `exitCode` to the exit code. Prints all findings to standard error.
std::optional<Settings> parseSettings(int argc, const char *const *argv, int &exitCode);

/// Internal: parses an address such as "127.0.0.1:8080". Adds a finding at `flag` if `text` is
/// invalid.
SocketAddress parseSocketAddress(const std::string &text, const std::string &flag,
                                 FindingList &findings);

} // namespace oleanderhall
