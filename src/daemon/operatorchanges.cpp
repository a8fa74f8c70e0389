// The calls of the operators' API that change the fleet's state.
#include "operatorapi.h"

#include "controller.h"
#include "stalebase.h"

#include "oleanderhall/core/errors.h"
#include "oleanderhall/core/jsoncursor.h"
#include "oleanderhall/register/registerparser.h"

#include <limits>

namespace oleanderhall {

using web::json::value;

namespace {

constexpr std::int64_t kMaxInteger = std::numeric_limits<std::int64_t>::max();

template <typename Visit>
void parseBody(const std::string &text, const Visit &visit)
{
    FindingList findings;
    const value json = parseJson(text, "request");
    visit(JsonCursor(json, "request", "", findings));
    if (!findings.empty())
        throw InvalidDocument(std::move(findings));
}

[[noreturn]] void throwFinding(const std::string &location, const std::string &problem,
                               const std::string &expected)
{
    FindingList findings;
    findings.add({"request", location, problem, expected});
    throw InvalidDocument(std::move(findings));
}

/// Returns the entry that changes the configuration of `state` to `candidate`, or nothing if they
/// are equal. Throws InvalidDocument if the transition is not allowed.
std::optional<LogEntry> makeConfigEntry(const FleetState &state, const Register &candidate,
                                        const std::string &reason)
{
    FindingList findings;
    checkTransition(state.config(), candidate, findings);
    if (!findings.empty())
        throw InvalidDocument(std::move(findings));
    RegisterPatch patch = difference(state.config(), candidate);
    if (patch.empty())
        return std::nullopt;
    LogEntry entry;
    entry.reason = reason;
    entry.changes.push_back(ConfigChange{state.configVersion().next(), std::move(patch)});
    return entry;
}

} // namespace

OperatorResponse OperatorApi::applyConfig(const OperatorCall &call)
{
    ConfigVersion base;
    Register candidate;
    std::string reason;
    parseBody(call.body, [&](const JsonCursor &cursor) {
        cursor.allowOnly({"base", "register", "rules", "reason"});
        base = {static_cast<std::uint64_t>(cursor.number("base", 0, kMaxInteger))};
        reason = cursor.textOr("reason", "applied by an operator");
        if (!cursor.value().has_field("register") || !cursor.value().has_field("rules"))
            throwFinding("", "a document is missing", "register and rules");
        candidate = parseRegister({"register", cursor.value().at("register").serialize()},
                                  {"rules", cursor.value().at("rules").serialize()});
    });
    value changes;
    const auto propose = [&](const FleetState &state) -> std::optional<LogEntry> {
        std::optional<LogEntry> entry = makeConfigEntry(state, candidate, reason);
        if (entry && state.configVersion() != base)
            throw StaleBase(state.configVersion(), difference(state.config(), candidate));
        changes = toJson(difference(state.config(), candidate));
        return entry;
    };
    OperatorResponse response = submit(call, propose);
    response.body["difference"] = changes;
    return response;
}

OperatorResponse OperatorApi::submit(const OperatorCall &call, const Controller::Proposer &propose)
{
    bool isChanged = false;
    if (call.isDryRun)
        m_controller.withState([&propose](const FleetState &state) { propose(state); });
    else
        isChanged = m_controller.commit(propose).has_value();
    OperatorResponse response;
    response.body["changed"] = value::string(isChanged ? "yes" : "no");
    m_controller.withState([&response](const FleetState &state) {
        response.body["version"] = value::number(state.configVersion().value);
    });
    return response;
}

OperatorResponse OperatorApi::move(const OperatorCall &call)
{
    std::string hostName;
    std::string poolName;
    std::string reason;
    parseBody(call.body, [&](const JsonCursor &cursor) {
        cursor.allowOnly({"host", "pool", "reason"});
        hostName = cursor.text("host");
        poolName = cursor.text("pool");
        reason = cursor.textOr("reason", "moved by an operator");
    });
    const auto propose = [&](const FleetState &state) -> std::optional<LogEntry> {
        Register candidate = state.config();
        const auto host = candidate.hosts.find(HostId(hostName));
        if (host == candidate.hosts.end())
            throwFinding("/host", "host '" + hostName + "' is unknown", "a host of the register");
        host->second.pool = PoolId(poolName);
        FindingList findings;
        checkRegister(candidate, "request", findings);
        if (!findings.empty())
            throw InvalidDocument(std::move(findings));
        return makeConfigEntry(state, candidate, reason + ": " + hostName + " to " + poolName);
    };
    return submit(call, propose);
}

OperatorResponse OperatorApi::changeWave(const OperatorCall &call)
{
    std::string poolName;
    std::string action;
    std::string reason;
    parseBody(call.body, [&](const JsonCursor &cursor) {
        cursor.allowOnly({"pool", "action", "reason"});
        poolName = cursor.text("pool");
        action = cursor.text("action");
        reason = cursor.textOr("reason", "asked for by an operator");
    });
    const std::map<std::string, WaveStatus> actions{{"start", WaveStatus::Running},
                                                    {"resume", WaveStatus::Running},
                                                    {"pause", WaveStatus::Paused},
                                                    {"stop", WaveStatus::Stopped}};
    const auto requestedStatus = actions.find(action);
    if (requestedStatus == actions.end())
        throwFinding("/action", "'" + action + "' is unknown", "start, pause, resume or stop");
    const auto propose = [&](const FleetState &state) -> std::optional<LogEntry> {
        const PoolId pool(poolName);
        if (!state.config().pools.contains(pool))
            throwFinding("/pool", "pool '" + poolName + "' is unknown", "a pool of the rules");
        const WaveRecord *current = state.waveOf(pool);
        const bool isOpen = current
            && (current->status == WaveStatus::Running || current->status == WaveStatus::Paused);
        if (action == "start" && isOpen)
            throwFinding("/pool", "a wave is open in pool '" + poolName + "'", "no open wave");
        const bool mayResume = action == "resume" && current
            && current->status == WaveStatus::Stopped;
        if (action != "start" && !isOpen && !mayResume)
            throwFinding("/pool", "no wave is open in pool '" + poolName + "'", "an open wave");
        WaveRecord next;
        if (action != "start")
            next = *current;
        else
            next.id = WaveId(poolName + "-" + std::to_string(state.sequence().next().value));
        if (action != "start" && next.status == requestedStatus->second)
            return std::nullopt;
        next.pool = pool;
        next.status = requestedStatus->second;
        next.reason = reason;
        LogEntry entry;
        entry.reason = "wave " + next.id.name() + " " + action + ": " + reason;
        entry.changes.push_back(WaveChange{next});
        return entry;
    };
    return submit(call, propose);
}

} // namespace oleanderhall
