#pragma once

#include "controller.h"
#include "settings.h"

#include <cpprest/json.h>

#include <string>

namespace oleanderhall {

class RequestTraces;

/// Internal: an operator's call without its transport.
struct OperatorCall
{
    std::string method;
    std::vector<std::string> path;
    std::string body;
    bool isDryRun = false;
};

/// Internal: the answer to an OperatorCall.
struct OperatorResponse
{
    int status = 200;
    web::json::value body = web::json::value::object();
};

/// Internal: what operators can ask of an entry host and change through it.
class OperatorApi
{
public:
    OperatorApi(const Settings &settings, Controller &controller, const RequestTraces &traces);

    /// Answers a call. Never throws; every failure is an answer that says what was changed.
    OperatorResponse handle(const OperatorCall &call);

private:
    OperatorResponse route(const OperatorCall &call);
    OperatorResponse status();
    OperatorResponse config();
    OperatorResponse applyConfig(const OperatorCall &call);
    /// Commits what `propose` returns, or only asks it when the call is a dry run.
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
