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
struct OperatorAnswer
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
    OperatorAnswer handle(const OperatorCall &call);

private:
    OperatorAnswer route(const OperatorCall &call);
    OperatorAnswer status();
    OperatorAnswer config();
    OperatorAnswer apply(const OperatorCall &call);
    /// Commits what `propose` returns, or only asks it when the call is a dry run.
    OperatorAnswer submit(const OperatorCall &call, const Controller::Proposer &propose);
    OperatorAnswer move(const OperatorCall &call);
    OperatorAnswer changeWave(const OperatorCall &call);
    OperatorAnswer plan();
    OperatorAnswer explainRequest(const std::string &requestId);
    OperatorAnswer explain(const std::string &kind, const std::string &name);

    const Settings &m_settings;
    Controller &m_controller;
    const RequestTraces &m_traces;
};

} // namespace oleanderhall
