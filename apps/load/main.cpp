// Drives callers' requests through the entry hosts and checks what was recorded. Exit codes: 0 all
// promises held, 1 one was broken or the records could not be had, 2 wrong usage.
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
    std::vector<Execution> runs;
    for (Execution run;
         lines >> run.requestId >> run.host >> run.service >> run.startUs >> run.endUs;)
        runs.push_back(run);
    return runs;
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
    run->add_option("--entry", settings.entries, "IP:PORT of callers' sides")->required();
    run->add_option("--register", registerFile, "Register document")->required();
    run->add_option("--rules", rulesFile, "Rules document")->required();
    run->add_option("--history", history, "File for the history");
    run->add_option("--rate", settings.ratePerSecond, "Operations a second");
    run->add_option("--seconds", settings.seconds, "Length of the run");
    run->add_option("--unrepeatable", settings.unrepeatablePercent, "Unrepeatable calls, percent");
    run->add_option("--twins", settings.duplicatePercent, "Calls sent twice at once, percent");
    run->add_option("--work-ms", settings.workMs, "Time that a request works");
    run->add_option("--timeout-ms", settings.timeoutMs, "Time limit of a request");
    run->add_option("--tries", settings.maxAttempts, "Tries of an operation");
    run->add_option("--seed", settings.seed, "Seed of the mix");
    bool isUntimed = false;
    CLI::App *check = app.add_subcommand("check", "Check what was recorded");
    check->add_flag("--untimed", isUntimed, "Report lateness without judging it");
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
