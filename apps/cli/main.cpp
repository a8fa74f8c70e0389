// The operators' command line. Exit codes: 0 success, 1 entry host not reachable or outcome
// unknown, 2 usage error, 3 the document or request is invalid or names something unknown, 4
// conflict with another operator's change.
#include "entryclient.h"
#include "report.h"

#include "oleanderhall/core/errors.h"
#include "oleanderhall/register/registerparser.h"

#include <CLI/CLI.hpp>

#include <fstream>
#include <iostream>
#include <sstream>

using oleanderhall::Document;
using web::json::value;

namespace cli {

namespace {

constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;
constexpr int kExitFindings = 3;
constexpr int kExitConflict = 4;
constexpr int kStatusOk = 200;
constexpr int kStatusConflict = 409;
constexpr int kStatusInvalid = 422;
constexpr int kStatusNotFound = 404;

struct Arguments
{
    std::vector<std::string> entries{"http://127.0.0.1:8081"};
    bool isJson = false;
    bool isDryRun = false;
    std::string registerFile;
    std::string rulesFile;
    std::int64_t base = -1;
    std::string reason;
    std::string host;
    std::string pool;
    std::string kind;
    std::string name;
};

Document readDocument(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        oleanderhall::FindingList findings;
        findings.add({path, "", "can't be read", "a readable file"});
        throw oleanderhall::InvalidDocument(std::move(findings));
    }
    std::ostringstream text;
    text << file.rdbuf();
    return {path, text.str()};
}

int exitCodeFor(int status)
{
    if (status == kStatusOk)
        return 0;
    if (status == kStatusConflict)
        return kExitConflict;
    return status == kStatusInvalid || status == kStatusNotFound ? kExitFindings : kExitFailed;
}

int printResponse(const EntryResponse &response, const Arguments &arguments,
                  void (*print)(const value &))
{
    if (arguments.isJson)
        std::cout << response.body.serialize() << "\n";
    else if (response.status == kStatusOk)
        print(response.body);
    else
        printProblem(response.body);
    return exitCodeFor(response.status);
}

int check(const Arguments &arguments)
{
    const auto config = oleanderhall::parseRegister(readDocument(arguments.registerFile),
                                                    readDocument(arguments.rulesFile));
    std::cout << "no findings: " << config.hosts.size() << " hosts, " << config.pools.size()
              << " pools, " << config.services.size() << " services\n";
    return 0;
}

int apply(const EntryClient &client, const Arguments &arguments, bool isDryRun)
{
    const Document hosts = readDocument(arguments.registerFile);
    const Document rules = readDocument(arguments.rulesFile);
    oleanderhall::parseRegister(hosts, rules);
    std::int64_t base = arguments.base;
    if (base < 0)
        base = client.get("/v1/config").body.at("version").as_number().to_int64();
    value body = value::object();
    body["base"] = value::number(base);
    body["register"] = value::parse(hosts.text);
    body["rules"] = value::parse(rules.text);
    if (!arguments.reason.empty())
        body["reason"] = value::string(arguments.reason);
    return printResponse(client.post("/v1/config", body, isDryRun), arguments, printChange);
}

int changeWave(const EntryClient &client, const Arguments &arguments, const std::string &action)
{
    value body = value::object();
    body["pool"] = value::string(arguments.pool);
    body["action"] = value::string(action);
    if (!arguments.reason.empty())
        body["reason"] = value::string(arguments.reason);
    return printResponse(client.post("/v1/waves", body, arguments.isDryRun), arguments,
                         printChange);
}

int move(const EntryClient &client, const Arguments &arguments)
{
    value body = value::object();
    body["host"] = value::string(arguments.host);
    body["pool"] = value::string(arguments.pool);
    if (!arguments.reason.empty())
        body["reason"] = value::string(arguments.reason);
    return printResponse(client.post("/v1/moves", body, arguments.isDryRun), arguments,
                         printChange);
}

int explain(const EntryClient &client, const Arguments &arguments)
{
    const std::string path = "/v1/explain/" + arguments.kind + "/" + arguments.name;
    if (arguments.kind != "request")
        return printResponse(client.get(path), arguments, printExplanation);
    // Only the entry host that handled a request has its trace.
    return printResponse(client.getFromAny(path), arguments, printRequest);
}

/// Adds the subcommands. The callback of the parsed one sets `run` to its action.
void addCommands(CLI::App &app, Arguments &arguments, std::function<int(const EntryClient &)> &run)
{
    const auto addDocumentOptions = [&arguments](CLI::App *command) {
        command->add_option("--register", arguments.registerFile, "Register document")->required();
        command->add_option("--rules", arguments.rulesFile, "Rules document")->required();
    };
    CLI::App *checkCommand = app.add_subcommand("check", "Check documents without any entry host");
    addDocumentOptions(checkCommand);
    checkCommand->callback([&] { run = [&](const EntryClient &) { return check(arguments); }; });

    CLI::App *applyCommand = app.add_subcommand("apply", "Commit a register and its rules");
    addDocumentOptions(applyCommand);
    applyCommand->add_option("--base", arguments.base, "Version that the documents are based on");
    applyCommand->callback([&] {
        run = [&](const EntryClient &client) {
            return apply(client, arguments, arguments.isDryRun);
        };
    });
    CLI::App *diffCommand = app.add_subcommand("diff", "Show what apply would change");
    addDocumentOptions(diffCommand);
    diffCommand->callback(
        [&] { run = [&](const EntryClient &client) { return apply(client, arguments, true); }; });

    app.add_subcommand("status", "Show pools, waves and entry hosts")->callback([&] {
        run = [&](const EntryClient &client) {
            return printResponse(client.get("/v1/status"), arguments, printStatus);
        };
    });
    app.add_subcommand("plan", "Show which hosts change and which wait, and why")->callback([&] {
        run = [&](const EntryClient &client) {
            return printResponse(client.getMerged("/v1/plan", "steps", "host", "waiting"),
                                 arguments, printPlan);
        };
    });
    CLI::App *wave = app.add_subcommand("wave", "Start, pause, resume or stop a maintenance wave");
    wave->require_subcommand(1);
    for (const std::string action : {"start", "pause", "resume", "stop"}) {
        CLI::App *command = wave->add_subcommand(action, action + " the wave of a pool");
        command->add_option("pool", arguments.pool, "Pool")->required();
        command->callback([&, action] {
            run = [&, action](const EntryClient &client) {
                return changeWave(client, arguments, action);
            };
        });
    }
    CLI::App *moveCommand = app.add_subcommand("move", "Move a host to another pool");
    moveCommand->add_option("host", arguments.host, "Host")->required();
    moveCommand->add_option("pool", arguments.pool, "Pool")->required();
    moveCommand->callback(
        [&] { run = [&](const EntryClient &client) { return move(client, arguments); }; });
    CLI::App *explainCommand = app.add_subcommand("explain", "Explain a host, a pool or a request");
    explainCommand->add_option("kind", arguments.kind, "host, pool or request")
        ->required()
        ->check(CLI::IsMember({"host", "pool", "request"}));
    explainCommand
        ->add_option("name", arguments.name, "Name of the host or pool, or ID of the request")
        ->required();
    explainCommand->callback(
        [&] { run = [&](const EntryClient &client) { return explain(client, arguments); }; });
}

int runCommandLine(int argc, char **argv)
{
    CLI::App app{"Operators' command line of oleanderhall"};
    Arguments arguments;
    std::function<int(const EntryClient &)> run;
    app.require_subcommand(1);
    app.fallthrough();
    app.add_option("--entry", arguments.entries, "Operators' URL of an entry host; may be repeated")
        ->envname("OLEANDERHALL_ENTRY")
        ->delimiter(',');
    app.add_flag("--json", arguments.isJson, "Print the response as JSON");
    app.add_flag("--dry-run", arguments.isDryRun, "Validate a change without making it");
    app.add_option("--reason", arguments.reason, "Reason to record with the change");
    addCommands(app, arguments, run);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &error) {
        return app.exit(error) == 0 ? 0 : kExitUsage;
    }
    try {
        return run(EntryClient(arguments.entries));
    } catch (const oleanderhall::InvalidDocument &error) {
        std::cerr << error.findings().text();
        return kExitFindings;
    } catch (const std::exception &error) {
        std::cerr << "oleanderhall: " << error.what() << "\n";
        return kExitFailed;
    }
}

} // namespace

} // namespace cli

int main(int argc, char **argv)
{
    return cli::runCommandLine(argc, argv);
}
