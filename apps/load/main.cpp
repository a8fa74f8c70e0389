// Load tool: sends callers' requests through the entry hosts and checks the recorded history. Exit
// codes: 0 success, 1 a guarantee was violated or the records can't be fetched, 2 usage error.
#include <utility>

#include "callers.h"
#include "figures.h"
#include "historycheck.h"

#include "oleanderhall/platform/dynamotable.h"
#include "oleanderhall/platform/httpobjectstore.h"
#include "oleanderhall/register/registerparser.h"
#include "oleanderhall/rollout/changelog.h"

#include <CLI/CLI.hpp>
#include <cpprest/http_client.h>

#include <fstream>
#include <iostream>
#include <sstream>

namespace load {

namespace {

constexpr int kExitUsage = 2;
constexpr oleanderhall::Millis kTimeout{10000};

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::string fetch(const std::string &url)
{
    web::http::client::http_client client{web::uri(url)};
    return client.request(web::http::methods::GET).get().extract_utf8string(true).get();
}

std::vector<Execution> fetchExecutions(const std::string &url)
{
    std::istringstream lines(fetch(url));
    std::vector<Execution> executions;
    for (Execution execution; lines >> execution.requestId >> execution.host >> execution.service
         >> execution.startUs >> execution.endUs;)
        executions.push_back(execution);
    return executions;
}

std::vector<oleanderhall::LogEntry> fetchLog(const std::string &table, const std::string &objects)
{
    constexpr std::size_t kEntriesPerRead = 500;
    oleanderhall::DynamoTable client(table, kTimeout);
    oleanderhall::HttpObjectStore store(objects, kTimeout);
    oleanderhall::ChangeLog log(client, store);
    std::vector<oleanderhall::LogEntry> entries;
    for (;;) {
        const auto last = entries.empty() ? oleanderhall::Sequence{} : entries.back().sequence;
        const auto more = log.readAfter(last, kEntriesPerRead);
        if (more.empty())
            return entries;
        entries.insert(entries.end(), more.begin(), more.end());
    }
}

Records fetchRecords(const std::vector<std::string> &histories, const std::string &platform,
                     const std::string &workers)
{
    Records records;
    for (const std::string &history : histories) {
        const std::vector<Attempt> attempts = readHistory(history);
        records.attempts.insert(records.attempts.end(), attempts.begin(), attempts.end());
    }
    records.executions = fetchExecutions(workers + "/executions");
    records.log = fetchLog(platform + "/", platform + "/objects");
    const auto journal = web::json::value::parse(fetch(platform + "/journal"));
    for (const auto &commit : journal.as_array()) {
        records.commitTimesUs[commit.at("token").as_string()] = commit.at("atUs")
                                                                    .as_number()
                                                                    .to_int64();
    }
    return records;
}

} // namespace

} // namespace load

int main(int argc, char **argv)
{
    CLI::App app{"Load and history checks for oleanderhall"};
    app.require_subcommand(1);
    load::CallerSettings settings;
    std::string registerFile;
    std::string rulesFile;
    std::string history;
    std::vector<std::string> histories;
    std::string platform = "http://127.0.0.1:9000";
    std::string workers = "http://127.0.0.1:9001";
    CLI::App *run = app.add_subcommand("run", "Send requests and write a history");
    run->add_option("--entry", settings.entries,
                    "IP:PORT of an entry host's listener for callers; may be repeated")
        ->required();
    run->add_option("--register", registerFile, "Register document")->required();
    run->add_option("--rules", rulesFile, "Rules document")->required();
    run->add_option("--history", history, "File that the history is written to");
    run->add_option("--rate", settings.ratePerSecond, "Operations per second");
    run->add_option("--seconds", settings.seconds, "Length of the run in seconds");
    run->add_option("--unrepeatable", settings.unrepeatablePercent,
                    "Share of unrepeatable operations in percent");
    run->add_option("--twins", settings.duplicatePercent,
                    "Share of unrepeatable operations sent twice at once, in percent");
    run->add_option("--work-ms", settings.workMs,
                    "Processing time of a request at the upstream in milliseconds");
    run->add_option("--timeout-ms", settings.timeoutMs, "Time limit of a request in milliseconds");
    run->add_option("--tries", settings.maxAttempts, "Maximum number of attempts per operation");
    run->add_option("--seed", settings.seed, "Seed of the random mix of operations");
    bool isUntimed = false;
    CLI::App *check = app.add_subcommand("check", "Check the recorded history");
    check->add_flag("--untimed", isUntimed,
                    "Count late starts without treating them as violations");
    check->add_option("--history", histories, "History files")->required();
    check->add_option("--platform", platform, "URL of the platform's stand-in");
    check->add_option("--workers", workers, "URL of the workers' stand-in");
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &error) {
        return app.exit(error) == 0 ? 0 : load::kExitUsage;
    }
    try {
        if (check->parsed()) {
            const auto records = load::fetchRecords(histories, platform, workers);
            return load::printReport(load::checkHistory(records, !isUntimed)) ? 0 : 1;
        }
        const auto config = oleanderhall::parseRegister(
            {registerFile, load::readFile(registerFile)}, {rulesFile, load::readFile(rulesFile)});
        const auto attempts = load::Callers(settings, config).run();
        if (!history.empty())
            load::writeHistory(history, attempts);
        load::printStatistics(attempts);
        return 0;
    } catch (const std::exception &error) {
        std::cerr << "oleanderhall-load: " << error.what() << "\n";
        return 1;
    }
}
