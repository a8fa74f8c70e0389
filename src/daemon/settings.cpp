#include "settings.h"

#include "settingsparser.h"

#include <boost/asio/ip/address.hpp>

#include <charconv>

namespace oleanderhall {

namespace {

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
    int headerTimeoutMs = 5000;
    int bodyTimeoutMs = 10000;
    int idleTimeoutMs = 30000;
    int responseTimeoutMs = 10000;
};

void addOptions(CLI::App &app, RawSettings &raw, Settings &settings)
{
    addOption(app, "--id", raw.id, "Name of this entry host");
    addOption(app, "--zone", raw.zone, "Availability zone of this entry host");
    addOption(app, "--callers", raw.callers, "IP:PORT on which callers are served");
    addOption(app, "--operators", raw.operators, "IP:PORT on which operators are served");
    addOption(app, "--peers", raw.peers, "IP:PORT on which other entry hosts are served");
    addOption(app, "--advertise", raw.advertised,
              "IP:PORT at which other entry hosts reach --peers");
    app.add_option("--seed", raw.seeds,
                   "IP:PORT of an entry host to load the view from; may be repeated")
        ->envname("OLEANDERHALL_SEED")
        ->delimiter(',');
    addOption(app, "--table", settings.tableUrl, "URL of the platform's table");
    addOption(app, "--objects", settings.objectsUrl, "URL of the platform's object store");
    addOption(app, "--host-list", settings.hostListUrl, "URL of the platform's host list");
    addOption(app, "--workers", settings.workersUrl, "URL of the platform's workers");
    addOption(app, "--threads", settings.threads, "Number of threads that serve requests");
    addOption(app, "--max-connections", settings.maxConnections,
              "Maximum number of connections from callers");
    addOption(app, "--max-waiting", settings.maxWaiting,
              "Maximum number of waiting requests per service");
    addOption(app, "--max-body-bytes", settings.maxBodyBytes,
              "Maximum size of a request body in bytes");
    addOption(app, "--max-header-bytes", settings.maxHeaderBytes,
              "Maximum size of a request header in bytes");
    addOption(app, "--max-buffered-bytes", settings.maxBufferedBytes,
              "Maximum size of all buffered request bodies in bytes");
    addOption(app, "--header-time-ms", raw.headerTimeoutMs,
              "Time limit for reading a request header in milliseconds");
    addOption(app, "--body-time-ms", raw.bodyTimeoutMs,
              "Time limit for reading a request body in milliseconds");
    addOption(app, "--idle-time-ms", raw.idleTimeoutMs,
              "Time in milliseconds after which an idle connection is closed");
    addOption(app, "--answer-time-ms", raw.responseTimeoutMs,
              "Time limit for writing a response in milliseconds");
    addOption(app, "--retry-percent", settings.retryPercent,
              "Maximum number of retries in percent of first attempts");
    addOption(app, "--tick-ms", raw.tickMs, "Time between two control steps in milliseconds");
    addOption(app, "--view-lease-ms", raw.viewLeaseMs,
              "Age at which a view expires in milliseconds");
    addOption(app, "--platform-timeout-ms", raw.platformTimeoutMs,
              "Time limit of a platform call in milliseconds");
    addOption(app, "--stop-notice-ms", raw.stopNoticeMs,
              "Time between reporting 'not ready' and refusing connections in milliseconds");
    addOption(app, "--stop-limit-ms", raw.stopLimitMs,
              "Time limit for requests in flight at a stop in milliseconds");
}

void checkText(const std::string &value, const char *flag, FindingList &findings)
{
    if (value.empty())
        findings.add({kSettingsSource, flag, "is missing", "a value"});
}

void checkUrl(const std::string &value, const char *flag, FindingList &findings)
{
    if (!value.starts_with("http://"))
        findings.add(
            {kSettingsSource, flag, "'" + value + "' is not a URL", "http://IP:PORT[/PATH]"});
}

void checkRange(int value, int low, int high, const char *flag, FindingList &findings)
{
    if (value >= low && value <= high)
        return;
    findings.add({kSettingsSource, flag, std::to_string(value) + " is out of range",
                  "a number from " + std::to_string(low) + " to " + std::to_string(high)});
}

void checkNumbers(const Settings &settings, const RawSettings &raw, FindingList &findings)
{
    constexpr int kMaxThreads = 64;
    constexpr int kMaxConnections = 100000;
    constexpr int kMaxBodyBytes = 64 << 20;
    constexpr int kMaxHeaderBytes = 1 << 20;
    constexpr int kMaxBufferedBytes = 1 << 30;
    constexpr int kMaxMillis = 3600000;
    checkRange(settings.threads, 1, kMaxThreads, "--threads", findings);
    checkRange(settings.maxConnections, 1, kMaxConnections, "--max-connections", findings);
    checkRange(settings.maxWaiting, 0, kMaxConnections, "--max-waiting", findings);
    checkRange(settings.maxBodyBytes, 0, kMaxBodyBytes, "--max-body-bytes", findings);
    checkRange(settings.maxHeaderBytes, 1024, kMaxHeaderBytes, "--max-header-bytes", findings);
    checkRange(settings.maxBufferedBytes, 0, kMaxBufferedBytes, "--max-buffered-bytes", findings);
    checkRange(raw.headerTimeoutMs, 1, kMaxMillis, "--header-time-ms", findings);
    checkRange(raw.bodyTimeoutMs, 1, kMaxMillis, "--body-time-ms", findings);
    checkRange(raw.idleTimeoutMs, 1, kMaxMillis, "--idle-time-ms", findings);
    checkRange(raw.responseTimeoutMs, 1, kMaxMillis, "--answer-time-ms", findings);
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
    settings.headerTimeout = Millis(raw.headerTimeoutMs);
    settings.bodyTimeout = Millis(raw.bodyTimeoutMs);
    settings.idleTimeout = Millis(raw.idleTimeoutMs);
    settings.responseTimeout = Millis(raw.responseTimeoutMs);
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
        boost::system::error_code addressError;
        boost::asio::ip::make_address(host, addressError);
        isUsable = parsed.ec == std::errc() && parsed.ptr == end && port > 0 && !addressError;
    }
    if (!isUsable)
        findings.add({kSettingsSource, flag, "'" + text + "' is not an address", "IP:PORT"});
    return {host, port};
}

std::optional<Settings> parseSettings(int argc, const char *const *argv, int &exitCode)
{
    return parseCommandLine<Settings, RawSettings>("Entry host of oleanderhall", argc, argv,
                                                   exitCode, addOptions, fill);
}

} // namespace oleanderhall
