#include "oleanderhall/platform/workerclient.h"

#include "httpcall.h"

#include "oleanderhall/core/errors.h"
#include "oleanderhall/core/jsoncursor.h"

#include <limits>

namespace oleanderhall {

using web::json::value;

namespace {

constexpr std::int64_t kLargest = std::numeric_limits<std::int64_t>::max();
constexpr Millis kTaskLease = std::chrono::hours(1);

value taskOf(const ServiceRule &rule, const std::string &address)
{
    value task = value::object();
    task["service"] = value::string(rule.id.name());
    task["address"] = value::string(address);
    task["port"] = value::number(rule.port);
    task["slots"] = value::number(rule.slots);
    task["connections"] = value::number(rule.connections);
    return task;
}

value commandToJson(const WorkerCommand &command, const Register &config)
{
    value body = value::object();
    body["epoch"] = value::number(command.epoch.value);
    if (command.kind == WorkerCommand::Kind::Reboot)
        return body;
    body["leaseMs"] = value::number(static_cast<std::int64_t>(kTaskLease.count()));
    body["tasks"] = value::array();
    const auto host = config.hosts.find(command.host);
    std::size_t index = 0;
    for (const ServiceId service : command.services) {
        const auto rule = config.services.find(service);
        if (rule != config.services.end() && host != config.hosts.end())
            body["tasks"][index++] = taskOf(rule->second, host->second.address);
    }
    return body;
}

} // namespace

WorkerClient::WorkerClient(std::string address, Millis timeout)
    : m_address(std::move(address))
    , m_timeout(timeout)
{}

std::string WorkerClient::bodyOf(const WorkerCommand &command, const Register &config)
{
    return commandToJson(command, config).serialize();
}

void WorkerClient::send(const WorkerCommand &command, const std::string &body)
{
    const bool isReboot = command.kind == WorkerCommand::Kind::Reboot;
    const HttpResult answer = callPlatform(
        {.method = isReboot ? "POST" : "PUT",
         .url = urlOf(command.host) + (isReboot ? "/reboot" : "/tasks"),
         .headers = {},
         .body = body,
         .timeout = m_timeout});
    requireOk(answer, urlOf(command.host));
}

HostObservation WorkerClient::observe(HostId host)
{
    const std::string text = fetchFromPlatform({.method = "GET",
                                                .url = urlOf(host),
                                                .headers = {},
                                                .body = std::nullopt,
                                                .timeout = m_timeout});
    FindingList findings;
    value json;
    try {
        json = parseJson(text, "worker");
    } catch (const InvalidDocument &error) {
        throw PlatformUnavailable(error.what());
    }
    const JsonCursor cursor(json, "worker", "", findings);
    HostObservation seen{.health = Health::Fit};
    seen.workerEpoch = {static_cast<std::uint64_t>(cursor.number("epoch", 0, kLargest))};
    seen.bootEpoch = {static_cast<std::uint64_t>(cursor.number("bootEpoch", 0, kLargest))};
    cursor.each("tasks", true, [&seen](const JsonCursor &task) {
        ++seen.activeInstances;
        const std::string service = task.text("service");
        if (task.text("state") == "running")
            seen.running.push_back(ServiceId(service));
    });
    if (!findings.empty())
        throw PlatformUnavailable("the worker's answer is malformed: " + findings.text());
    return seen;
}

std::string WorkerClient::urlOf(HostId host) const
{
    return m_address + "/" + host.name();
}

} // namespace oleanderhall
