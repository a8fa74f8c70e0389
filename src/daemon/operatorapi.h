#pragma once

#include "controller.h"
#include "settings.h"

#include <cpprest/json.h>

#include <string>

namespace oleanderhall {

class RequestTraces;

/// Internal: an operator's call, independent of the transport.
struct OperatorCall
{
    std::string method;
    std::vector<std::string> path; ///< Segments after `/v1`.
    std::string body;
    bool isDryRun = false;
};

/// Internal: the response to an OperatorCall.
struct OperatorResponse
{
    int status = 200; ///< HTTP status code.
    web::json::value body = web::json::value::object();
};

/// Internal: the operators' API of an entry host: status queries, and changes of the configuration,
/// of the pools of hosts and of maintenance waves.
class OperatorApi
{
public:
    OperatorApi(const Settings &settings, Controller &controller, const RequestTraces &traces);

    /// Executes a call. Never throws: the response to a failed call contains the error and whether
    /// anything may have been changed.
    OperatorResponse handle(const OperatorCall &call);

private:
    OperatorResponse route(const OperatorCall &call);
    OperatorResponse status();
    OperatorResponse config();
    OperatorResponse applyConfig(const OperatorCall &call);
    /// Commits the entry that `propose` returns. In a dry run, only calls `propose` to validate the
    /// change.
    OperatorResponse submit(const OperatorCall &call, const Controller::Proposer &propose);
    OperatorResponse move(const OperatorCall &call);
    OperatorResponse changeWave(const OperatorCall &call);
    OperatorResponse plan();
    OperatorResponse explainRequest(const std::string &requestId);
    OperatorResponse explain(const std::string &kind, const std::string &name);

    const Settings &m_settings;
    Controller &m_controller;
    const RequestTraces &m_traces;
};

} // namespace oleanderhall
