#include "oleanderhall/platform/workerclient.h"

#include "httpcall.h"

#include "oleanderhall/core/errors.h"
#include "oleanderhall/core/jsoncursor.h"

#include <limits>

namespace oleanderhall {

using web::json::value;

namespace {

constexpr std::int64_t kMaxInteger = std::numeric_limits<std::int64_t>::max();
constexpr Millis kTaskLease = std::chrono::hours(1);

value taskToJson(const ServiceRule &rule, const std::string &address)
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
            body["tasks"][index++] = taskToJson(rule->second, host->second.address);
    }
    return body;
}

} // namespace

WorkerClient::WorkerClient(std::string address, Millis timeout)
    : m_address(std::move(address))
    , m_timeout(timeout)
{}

std::string WorkerClient::commandBody(const WorkerCommand &command, const Register &config)
{
    return commandToJson(command, config).serialize();
}

void WorkerClient::send(const WorkerCommand &command, const std::string &body)
{
    const bool isReboot = command.kind == WorkerCommand::Kind::Reboot;
    const PlatformResponse response = callPlatform(
        {.method = isReboot ? "POST" : "PUT",
         .url = urlOf(command.host) + (isReboot ? "/reboot" : "/tasks"),
         .headers = {},
         .body = body,
         .timeout = m_timeout});
    requireOk(response, urlOf(command.host));
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
    HostObservation observation{.health = Health::Healthy};
    observation.workerEpoch = {static_cast<std::uint64_t>(cursor.number("epoch", 0, kMaxInteger))};
    observation.bootEpoch = {
        static_cast<std::uint64_t>(cursor.number("bootEpoch", 0, kMaxInteger))};
    cursor.forEach("tasks", true, [&observation](const JsonCursor &task) {
        ++observation.activeInstances;
        const std::string service = task.text("service");
        if (task.text("state") == "running")
            observation.running.push_back(ServiceId(service));
    });
    if (!findings.empty())
        throw PlatformUnavailable("the worker's response is malformed: " + findings.text());
    return observation;
}

std::string WorkerClient::urlOf(HostId host) const
{
    return m_address + "/" + host.name();
}

} // namespace oleanderhall
