#include "viewupdate.h"

#include "storednames.h"

#include "../../platform/configuration.h"
#include "../../platform/tablenames.h"
#include "../../platform/wavemessages.h"
#include "../daemon/log.h"

#include "oleanderhall/core/clock.h"

#include <cpprest/json.h>

namespace oleanderhall {

namespace {

void applyConfig(FleetView &view, const std::string &document)
{
    FindingList findings;
    FleetConfig config = platform::decodeConfiguration(document, findings);
    if (view.config && config.version <= view.config->version)
        return;
    for (const Finding &finding : findings.items())
        logWarning(
            "configuration_finding",
            {{"version", std::to_string(config.version.value)}, {"finding", finding.text()}});
    logInfo("configuration_in_force",
            {{"version", std::to_string(config.version.value)},
             {"queues", std::to_string(config.queues.size())},
             {"teams", std::to_string(config.teams.size())}});
    view.teams = TeamDirectory(config.teams);
    view.config = std::move(config);
}

} // namespace

TermRecord decodeTerm(const platform::TableRow &row)
{
    TermRecord term{.version = row.version};
    try {
        const web::json::value record = web::json::value::parse(row.value);
        term.owner = record.at("owner").as_string();
        term.generation = record.at("generation").as_number().to_int64();
        if (record.has_field("processorShare")) // rows of earlier versions lack it
            term.processorCores = record.at("processorShare").as_double();
    } catch (const web::json::json_exception &error) {
        logWarning("term_unreadable", {{"reason", error.what()}});
    }
    return term;
}

void applyOwnerReport(FleetView &view, const std::string &text)
{
    try {
        const web::json::value record = web::json::value::parse(text);
        if (!record.has_field("waiting"))
            return; // the owner has not loaded the jobs yet
        view.report.load = {};
        view.report.load = decodeLoadReport(record);
        view.report.waitingJobs.clear();
        for (const auto &[queue, waiting] : record.at("waiting").as_object())
            view.report.waitingJobs[queue] = waiting.as_number().to_int64();
        view.report.countedMs = record.has_field("countedMs")
            ? record.at("countedMs").as_number().to_int64()
            : 0; // reports of earlier versions lack it
        view.report.receivedAt = monotonicNow();
    } catch (const std::exception &error) {
        logWarning("report_unreadable", {{"reason", error.what()}});
    }
}

void applyHandledHosts(FleetView &view, const platform::TableRow &row)
{
    try {
        const std::int64_t wave = std::stoll(row.key.substr(kHandledHostsPrefix.size()));
        const web::json::value hosts = web::json::value::parse(row.value);
        for (const auto &host : hosts.as_array())
            view.handledHosts[wave].insert(HostId(host.as_string()));
    } catch (const std::exception &error) {
        logWarning("wave_record_unreadable", {{"key", row.key}, {"reason", error.what()}});
    }
}

void applyOperatorRow(FleetView &view, const platform::TableRow &row)
{
    if (row.isDeleted)
        return;
    try {
        if (row.key == platform::kConfigKey) {
            applyConfig(view, row.value);
            view.unreadableConfigRow = 0;
        } else if (const auto wave = platform::decodeWave(row.key, row.value)) {
            view.waves[wave->number] = *wave;
            view.waveSeenAt.try_emplace(wave->number, monotonicNow());
        }
    } catch (const std::exception &error) {
        logWarning("operator_row_unreadable", {{"key", row.key}, {"reason", error.what()}});
        if (row.key == platform::kConfigKey)
            view.unreadableConfigRow = row.version;
    }
}

} // namespace oleanderhall
