#include "operatorapi.h"

#include "controller.h"
#include "stalebase.h"

#include "../http/requesttraces.h"

#include "oleanderhall/core/errors.h"

namespace oleanderhall {

using web::json::value;

namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kUnprocessableContent = 422;
constexpr int kServiceUnavailable = 503;

OperatorResponse errorResponse(int status, const std::string &message, bool mayHaveChanged = false)
{
    OperatorResponse response{.status = status};
    response.body["error"] = value::string(message);
    response.body["changed"] = value::string(mayHaveChanged ? "unknown" : "no");
    return response;
}

OperatorResponse findingsResponse(const FindingList &findings)
{
    OperatorResponse response = errorResponse(kUnprocessableContent,
                                              "the document is invalid; nothing was changed");
    value list = value::array(findings.items().size());
    for (std::size_t index = 0; index < findings.items().size(); ++index) {
        const Finding &finding = findings.items()[index];
        list[index]["file"] = value::string(finding.file);
        list[index]["place"] = value::string(finding.location);
        list[index]["problem"] = value::string(finding.problem);
        list[index]["expected"] = value::string(finding.expected);
    }
    response.body["findings"] = list;
    return response;
}

std::map<std::string, int> countStates(const FleetState &state, PoolId pool)
{
    std::map<std::string, int> counts;
    for (const HostId host : state.hostsOf(pool))
        ++counts[std::string(nameOf(state.record(host)->state))];
    return counts;
}

value poolToJson(const FleetState &state, const PoolRule &rule)
{
    value pool = value::object();
    pool["id"] = value::string(rule.id.name());
    pool["minAvailable"] = value::number(rule.minAvailable);
    pool["maxUnavailable"] = value::number(rule.maxUnavailable);
    pool["hosts"] = value::number(static_cast<int>(state.hostsOf(rule.id).size()));
    for (const auto &[name, count] : countStates(state, rule.id))
        pool["states"][name] = value::number(count);
    if (const WaveRecord *wave = state.waveOf(rule.id))
        pool["wave"] = toJson(*wave);
    return pool;
}

} // namespace

OperatorApi::OperatorApi(const Settings &settings, Controller &controller,
                         const RequestTraces &traces)
    : m_settings(settings)
    , m_controller(controller)
    , m_traces(traces)
{}

OperatorResponse OperatorApi::handle(const OperatorCall &call)
{
    try {
        return route(call);
    } catch (const InvalidDocument &error) {
        return findingsResponse(error.findings());
    } catch (const StaleBase &error) {
        OperatorResponse response = errorResponse(kConflict, error.what());
        response.body["version"] = value::number(error.current().value);
        response.body["difference"] = toJson(error.difference());
        return response;
    } catch (const OutcomeUnknown &error) {
        return errorResponse(kServiceUnavailable, error.what(), true);
    } catch (const std::exception &error) {
        return errorResponse(kServiceUnavailable, error.what());
    }
}

OperatorResponse OperatorApi::route(const OperatorCall &call)
{
    const std::string resource = call.path.empty() ? "" : call.path[0];
    const bool isGet = call.method == "GET";
    if (isGet && resource == "status")
        return status();
    if (isGet && resource == "config")
        return config();
    if (isGet && resource == "plan")
        return plan();
    if (isGet && resource == "explain" && call.path.size() == 3 && call.path[1] == "request")
        return explainRequest(call.path[2]);
    if (isGet && resource == "explain" && call.path.size() == 3)
        return explain(call.path[1], call.path[2]);
    if (call.method == "POST" && resource == "config")
        return applyConfig(call);
    if (call.method == "POST" && resource == "moves")
        return move(call);
    if (call.method == "POST" && resource == "waves")
        return changeWave(call);
    return errorResponse(kNotFound, "no such operation: " + call.method + " " + resource);
}

OperatorResponse OperatorApi::status()
{
    OperatorResponse response;
    response.body["entry"] = value::string(m_settings.id.name());
    response.body["viewAgeMs"] = value::number(
        static_cast<std::int64_t>(m_controller.viewAge().count()));
    value members = value::array();
    value notAdopted = value::array();
    ConfigVersion version;
    m_controller.withState([&](const FleetState &state) {
        version = state.configVersion();
        response.body["sequence"] = value::number(state.sequence().value);
        response.body["version"] = value::number(version.value);
        value pools = value::array();
        std::size_t count = 0;
        for (const auto &[id, rule] : state.config().pools)
            pools[count++] = poolToJson(state, rule);
        response.body["pools"] = pools;
    });
    std::size_t count = 0;
    std::size_t notAdoptedCount = 0;
    for (const MemberRow &member : m_controller.members()) {
        value row = value::object();
        row["id"] = value::string(member.id.name());
        row["zone"] = value::string(member.zone.name());
        row["version"] = value::number(member.config.value);
        row["acknowledged"] = value::number(member.acknowledged.value);
        row["leaving"] = value::boolean(member.leaving);
        members[count++] = row;
        if (member.config < version)
            notAdopted[notAdoptedCount++] = value::string(member.id.name());
    }
    response.body["entryHosts"] = members;
    response.body["notYetAdopted"] = notAdopted;
    return response;
}

OperatorResponse OperatorApi::config()
{
    OperatorResponse response;
    m_controller.withState([&response](const FleetState &state) {
        response.body["version"] = value::number(state.configVersion().value);
        response.body["config"] = toJson(state.config());
    });
    return response;
}

OperatorResponse OperatorApi::plan()
{
    OperatorResponse response;
    value steps = value::array();
    std::size_t count = 0;
    const auto waitReasons = m_controller.waitReasons();
    m_controller.withState([&](const FleetState &state) {
        for (const auto &[id, record] : state.hosts()) {
            const HostSpec *spec = state.spec(id);
            const bool isInConfiguredPool = spec && spec->pool == record.pool;
            if (isInConfiguredPool && record.state == HostState::Serving
                && !waitReasons.contains(id))
                continue;
            value step = value::object();
            step["host"] = value::string(id.name());
            step["pool"] = value::string(record.pool.name());
            step["state"] = value::string(std::string(nameOf(record.state)));
            step["disruption"] = value::string(std::string(nameOf(record.disruption)));
            if (!isInConfiguredPool)
                step["target"] = value::string(spec ? spec->pool.name() : "removed");
            if (waitReasons.contains(id))
                step["waiting"] = value::string(waitReasons.at(id));
            steps[count++] = step;
        }
    });
    response.body["steps"] = steps;
    return response;
}

OperatorResponse OperatorApi::explainRequest(const std::string &requestId)
{
    const std::optional<RequestTrace> trace = m_traces.find(requestId);
    if (!trace)
        return errorResponse(kNotFound,
                             "request '" + requestId
                                 + "' is not among the recent requests of this entry host");
    OperatorResponse response;
    response.body["entry"] = value::string(m_settings.id.name());
    response.body["service"] = value::string(trace->service);
    value steps = value::array(trace->steps.size());
    for (std::size_t index = 0; index < trace->steps.size(); ++index)
        steps[index] = value::string(trace->steps[index]);
    response.body["steps"] = steps;
    return response;
}

OperatorResponse OperatorApi::explain(const std::string &kind, const std::string &name)
{
    OperatorResponse response;
    bool isKnown = false;
    m_controller.withState([&](const FleetState &state) {
        if (kind == "host") {
            for (const auto &[id, record] : state.hosts()) {
                if (id.name() != name)
                    continue;
                isKnown = true;
                response.body["record"] = toJson(record);
                response.body["changedAt"] = value::number(record.changedAt.value);
            }
        }
        if (kind == "pool") {
            for (const auto &[id, rule] : state.config().pools) {
                if (id.name() != name)
                    continue;
                isKnown = true;
                response.body["pool"] = poolToJson(state, rule);
            }
        }
    });
    if (!isKnown)
        return errorResponse(kNotFound, "no " + kind + " named '" + name + "'");
    for (const auto &[host, reason] : m_controller.waitReasons()) {
        if (host.name() == name)
            response.body["waiting"] = value::string(reason);
    }
    value decisions = value::array();
    std::size_t count = 0;
    for (const std::string &text : m_controller.recentEntriesFor(name)) {
        const value entry = value::parse(text);
        decisions[count]["sequence"] = entry.at("sequence");
        decisions[count]["actor"] = entry.at("actor");
        decisions[count++]["reason"] = entry.at("reason");
    }
    response.body["decisions"] = decisions;
    return response;
}

} // namespace oleanderhall
