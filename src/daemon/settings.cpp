#include "settings.h"

#include <CLI/CLI.hpp>
#include <boost/asio/ip/address.hpp>

#include <charconv>
#include <iostream>

namespace oleanderhall {

namespace {

constexpr int kInvalidSettings = 2;
constexpr const char *kSource = "settings";

struct RawSettings
{
    std::string id;
    std::string zone;
    std::string callers;
    std::string operators;
    std::string peers;
    std::string advertised;
    std::vector<std::string> seeds;
    int tickMs = 250;
    int viewLeaseMs = 3000;
    int platformTimeoutMs = 1000;
    int stopNoticeMs = 1500;
    int stopLimitMs = 30000;
    int headerTimeMs = 5000;
    int bodyTimeMs = 10000;
    int idleTimeMs = 30000;
    int answerTimeMs = 10000;
};

void addOptions(CLI::App &app, RawSettings &raw, Settings &settings)
{
    const auto text = [&app](const char *flag, std::string &target, const char *help) {
        std::string name = std::string("OLEANDERHALL_") + (flag + 2);
        for (char &character : name)
            character = character == '-' ? '_' : static_cast<char>(std::toupper(character));
        app.add_option(flag, target, help)->envname(name);
    };
    const auto number = [&app](const char *flag, int &target, const char *help) {
        std::string name = std::string("OLEANDERHALL_") + (flag + 2);
        for (char &character : name)
            character = character == '-' ? '_' : static_cast<char>(std::toupper(character));
        app.add_option(flag, target, help)->capture_default_str()->envname(name);
    };
    text("--id", raw.id, "Name of this entry host");
    text("--zone", raw.zone, "Availability zone of this entry host");
    text("--callers", raw.callers, "IP:PORT on which callers are served");
    text("--operators", raw.operators, "IP:PORT on which operators are served");
    text("--peers", raw.peers, "IP:PORT on which other entry hosts are served");
    text("--advertise", raw.advertised, "IP:PORT at which other entry hosts reach --peers");
    app.add_option("--seed", raw.seeds, "IP:PORT of another entry host; may be repeated")
        ->envname("OLEANDERHALL_SEED")
        ->delimiter(',');
    text("--table", settings.tableUrl, "URL of the platform's table");
    text("--objects", settings.objectsUrl, "URL of the platform's object store");
    text("--host-list", settings.hostListUrl, "URL of the platform's host list");
    text("--workers", settings.workersUrl, "URL of the platform's workers");
    number("--threads", settings.threads, "Worker threads");
    number("--max-connections", settings.maxConnections, "Connections from callers");
    number("--max-waiting", settings.maxWaiting, "Requests of one service that may wait");
    number("--max-body-bytes", settings.maxBodyBytes, "Largest request body in bytes");
    number("--max-header-bytes", settings.maxHeaderBytes, "Largest request header in bytes");
    number("--max-buffered-bytes", settings.maxBufferedBytes, "All request bodies in bytes");
    number("--header-time-ms", raw.headerTimeMs, "Time for a request header");
    number("--body-time-ms", raw.bodyTimeMs, "Time for a request body");
    number("--idle-time-ms", raw.idleTimeMs, "Time for which a connection may be idle");
    number("--answer-time-ms", raw.answerTimeMs, "Time for a caller to take its answer");
    number("--retry-percent", settings.retryPercent, "Retries in percent of first tries");
    number("--tick-ms", raw.tickMs, "Time between two control steps in milliseconds");
    number("--view-lease-ms", raw.viewLeaseMs, "Age at which a view lapses in milliseconds");
    number("--platform-timeout-ms", raw.platformTimeoutMs, "Time limit of a platform call");
    number("--stop-notice-ms", raw.stopNoticeMs, "Time between 'not ready' and the stop");
    number("--stop-limit-ms", raw.stopLimitMs, "Longest time for requests in flight at a stop");
}

void checkText(const std::string &value, const char *flag, FindingList &findings)
{
    if (value.empty())
        findings.add({kSource, flag, "is missing", "a value"});
}

void checkUrl(const std::string &value, const char *flag, FindingList &findings)
{
    if (!value.starts_with("http://"))
        findings.add({kSource, flag, "'" + value + "' is not a URL", "http://IP:PORT[/PATH]"});
}

void checkRange(int value, int low, int high, const char *flag, FindingList &findings)
{
    if (value >= low && value <= high)
        return;
    findings.add({kSource, flag, std::to_string(value) + " is out of range",
                  "a number from " + std::to_string(low) + " to " + std::to_string(high)});
}

void checkNumbers(const Settings &settings, const RawSettings &raw, FindingList &findings)
{
    constexpr int kMaxThreads = 64;
    constexpr int kMaxConnections = 100000;
    constexpr int kMaxBody = 64 << 20;
    constexpr int kMaxHeader = 1 << 20;
    constexpr int kMaxBuffered = 1 << 30;
    constexpr int kMaxMillis = 3600000;
    checkRange(settings.threads, 1, kMaxThreads, "--threads", findings);
    checkRange(settings.maxConnections, 1, kMaxConnections, "--max-connections", findings);
    checkRange(settings.maxWaiting, 0, kMaxConnections, "--max-waiting", findings);
    checkRange(settings.maxBodyBytes, 0, kMaxBody, "--max-body-bytes", findings);
    checkRange(settings.maxHeaderBytes, 1024, kMaxHeader, "--max-header-bytes", findings);
    checkRange(settings.maxBufferedBytes, 0, kMaxBuffered, "--max-buffered-bytes", findings);
    checkRange(raw.headerTimeMs, 1, kMaxMillis, "--header-time-ms", findings);
    checkRange(raw.bodyTimeMs, 1, kMaxMillis, "--body-time-ms", findings);
    checkRange(raw.idleTimeMs, 1, kMaxMillis, "--idle-time-ms", findings);
    checkRange(raw.answerTimeMs, 1, kMaxMillis, "--answer-time-ms", findings);
    checkRange(settings.retryPercent, 0, 100, "--retry-percent", findings);
    checkRange(raw.tickMs, 10, 1000, "--tick-ms", findings);
    checkRange(raw.viewLeaseMs, 1000, 3500, "--view-lease-ms", findings);
    checkRange(raw.platformTimeoutMs, 100, 10000, "--platform-timeout-ms", findings);
    checkRange(raw.stopNoticeMs, 0, kMaxMillis, "--stop-notice-ms", findings);
    checkRange(raw.stopLimitMs, 1, kMaxMillis, "--stop-limit-ms", findings);
}

void fill(Settings &settings, const RawSettings &raw, FindingList &findings)
{
    checkText(raw.id, "--id", findings);
    checkText(raw.zone, "--zone", findings);
    settings.id = EntryId(raw.id);
    settings.zone = ZoneId(raw.zone);
    settings.callers = parseSocketAddress(raw.callers, "--callers", findings);
    settings.operators = parseSocketAddress(raw.operators, "--operators", findings);
    settings.peers = parseSocketAddress(raw.peers, "--peers", findings);
    settings.advertised = raw.advertised.empty()
        ? settings.peers
        : parseSocketAddress(raw.advertised, "--advertise", findings);
    for (const std::string &seed : raw.seeds)
        settings.seeds.push_back(parseSocketAddress(seed, "--seed", findings));
    checkUrl(settings.tableUrl, "--table", findings);
    checkUrl(settings.objectsUrl, "--objects", findings);
    checkUrl(settings.hostListUrl, "--host-list", findings);
    checkUrl(settings.workersUrl, "--workers", findings);
    checkNumbers(settings, raw, findings);
    settings.tick = Millis(raw.tickMs);
    settings.viewLease = Millis(raw.viewLeaseMs);
    settings.platformTimeout = Millis(raw.platformTimeoutMs);
    settings.stopNotice = Millis(raw.stopNoticeMs);
    settings.stopLimit = Millis(raw.stopLimitMs);
    settings.headerTime = Millis(raw.headerTimeMs);
    settings.bodyTime = Millis(raw.bodyTimeMs);
    settings.idleTime = Millis(raw.idleTimeMs);
    settings.answerTime = Millis(raw.answerTimeMs);
}

} // namespace

SocketAddress parseSocketAddress(const std::string &text, const std::string &flag,
                                 FindingList &findings)
{
    const std::size_t colon = text.rfind(':');
    const std::string host = text.substr(0, colon);
    std::uint16_t port = 0;
    bool isUsable = false;
    if (colon != std::string::npos) {
        const char *end = text.data() + text.size();
        const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
        boost::system::error_code failed;
        boost::asio::ip::make_address(host, failed);
        isUsable = parsed.ec == std::errc() && parsed.ptr == end && port > 0 && !failed;
    }
    if (!isUsable)
        findings.add({kSource, flag, "'" + text + "' is not an address", "IP:PORT"});
    return {host, port};
}

std::optional<Settings> parseSettings(int argc, const char *const *argv, int &exitCode)
{
    CLI::App app{"Entry host of oleanderhall"};
    RawSettings raw;
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
