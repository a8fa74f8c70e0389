#include "nodesettings.h"

#include "../daemon/settingsparser.h"

#include <cstdlib>
#include <map>

namespace oleanderhall {

namespace {

struct RawSettings
{
    std::string id;
    std::string zone;
    std::string callers;
    std::string health;
    std::string metrics;
    double stopLimitS = 6;
    double statusLifetimeS = 120;
    double moveS = 1.5;
    double maintenanceS = 2;
    int stopMs = 400;
    int hostPauseMs = 3000;
    std::string peers;
    int cancelMs = 3000;
    int revokeMs = 0;
    double teamWindowS = 5;
};

void addOptions(CLI::App &app, RawSettings &raw, NodeSettings &settings)
{
    const char *file = std::getenv("OLEANDERHALL_CONFIG");
    app.set_config("--settings", file ? file : "", "Settings file; default: OLEANDERHALL_CONFIG");
    app.allow_config_extras(true);
    addOption(app, "--id", raw.id, "Name of this node");
    addOption(app, "--zone", raw.zone, "Availability zone of this node");
    addOption(app, "--callers", raw.callers, "IP:PORT on which callers are served");
    addOption(app, "--health", raw.health, "IP:PORT on which the load balancer probes readiness");
    addOption(app, "--metrics", raw.metrics, "IP:PORT on which metrics are served");
    addOption(app, "--table", settings.tableAddress, "IP:PORT of the table service");
    addOption(app, "--hosts", settings.hostServiceAddress, "IP:PORT of the host service");
    addOption(app, "--advice", settings.adviceAddress, "IP:PORT of the policy service");
    addOption(app, "--processor-share", settings.processorCores,
              "Processor time of this process, in cores");
    addOption(app, "--stop-ms", raw.stopMs, "Longest time that a worker takes to stop a task");
    addOption(app, "--status-s", raw.statusLifetimeS, "How long the state of an ended job is kept");
    addOption(app, "--move-s", raw.moveS, "How long a move of a host takes");
    addOption(app, "--maintenance-s", raw.maintenanceS, "How long a host's maintenance takes");
    addOption(app, "--host-pause-ms", raw.hostPauseMs,
              "Pause between commands of two owners to a host");
    addOption(app, "--peers", raw.peers, "IP:PORT on which other fleet nodes are served");
    addOption(app, "--cancel-ms", raw.cancelMs,
              "Longest time from a cancellation until no task of the job starts");
    addOption(app, "--revoke-ms", raw.revokeMs,
              "Longest time that a withdrawn key admits calls on any node; 0 for no limit");
    addOption(app, "--team-window-s", raw.teamWindowS,
              "Span over which the rate of a team's jobs is judged");
    addOption(app, "--stop-limit-s", raw.stopLimitS,
              "Time from the stop signal until the platform kills the process");
}

Millis fromSeconds(double seconds)
{
    constexpr double kMilliPerSecond = 1000;
    return Millis(static_cast<Millis::rep>(seconds * kMilliPerSecond));
}

void fill(NodeSettings &settings, const RawSettings &raw, FindingList &findings)
{
    if (raw.id.empty())
        findings.add({kSettingsSource, "--id", "is missing", "a name"});
    if (raw.zone.empty())
        findings.add({kSettingsSource, "--zone", "is missing", "an availability zone"});
    settings.id = EntryId(raw.id);
    settings.zone = ZoneId(raw.zone);
    settings.callerAddress = parseSocketAddress(raw.callers, "--callers", findings);
    settings.healthAddress = parseSocketAddress(raw.health, "--health", findings);
    if (!raw.metrics.empty())
        settings.metricsAddress = parseSocketAddress(raw.metrics, "--metrics", findings);
    if (!raw.peers.empty())
        settings.peerAddress = parseSocketAddress(raw.peers, "--peers", findings);
    parseSocketAddress(settings.tableAddress, "--table", findings);
    if (!settings.hostServiceAddress.empty())
        parseSocketAddress(settings.hostServiceAddress, "--hosts", findings);
    if (!settings.adviceAddress.empty())
        parseSocketAddress(settings.adviceAddress, "--advice", findings);
    const std::map<const char *, double> times{{"--stop-ms", raw.stopMs},
                                               {"--status-s", raw.statusLifetimeS},
                                               {"--move-s", raw.moveS},
                                               {"--maintenance-s", raw.maintenanceS},
                                               {"--host-pause-ms", raw.hostPauseMs},
                                               {"--cancel-ms", raw.cancelMs},
                                               {"--revoke-ms", raw.revokeMs},
                                               {"--team-window-s", raw.teamWindowS},
                                               {"--stop-limit-s", raw.stopLimitS}};
    for (const auto &[flag, value] : times) {
        if (value < 0)
            findings.add({kSettingsSource, flag, "is below 0", "a time"});
    }
    settings.taskStopTimeout = Millis(raw.stopMs);
    settings.statusLifetime = fromSeconds(raw.statusLifetimeS);
    settings.moveTime = fromSeconds(raw.moveS);
    settings.maintenanceTime = fromSeconds(raw.maintenanceS);
    settings.hostCommandPause = Millis(raw.hostPauseMs);
    settings.shutdownTimeout = fromSeconds(raw.stopLimitS);
    settings.cancelTimeout = Millis(raw.cancelMs);
    settings.keyWithdrawalTimeout = Millis(raw.revokeMs);
    settings.teamRateWindow = fromSeconds(raw.teamWindowS);
}

} // namespace

std::optional<NodeSettings> parseNodeSettings(int argc, const char *const *argv, int &exitCode)
{
    return parseCommandLine<NodeSettings, RawSettings>("Fleet node of oleanderhall", argc, argv,
                                                       exitCode, addOptions, fill);
}

} // namespace oleanderhall
