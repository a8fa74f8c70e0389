#pragma once

#include "oleanderhall/core/findinglist.h"
#include "oleanderhall/core/ids.h"
#include "oleanderhall/core/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace oleanderhall {

/// Internal: an IP number and a port.
struct SocketAddress
{
    std::string address;
    std::uint16_t port = 0;

    std::string text() const { return address + ":" + std::to_string(port); }
};

/// Internal: everything that an entry host learns from its flags and environment.
struct Settings
{
    EntryId id;
    ZoneId zone;
    SocketAddress callers;
    SocketAddress operators;
    SocketAddress peers;
    SocketAddress advertised; ///< Where other entry hosts reach `peers`.
    std::vector<SocketAddress> seeds; ///< Other entry hosts to ask while the platform is away.
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

/// Internal: reads flags and environment variables. Returns nothing when the program should end,
/// with the exit code in `exitCode`. All findings are printed together.
std::optional<Settings> parseSettings(int argc, const char *const *argv, int &exitCode);

/// Internal: parses "127.0.0.1:8080" and reports a finding at `flag` when it is something else.
SocketAddress parseSocketAddress(const std::string &text, const std::string &flag,
                                 FindingList &findings);

} // namespace oleanderhall
