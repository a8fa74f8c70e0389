#include "log.h"

#include <cpprest/json.h>
#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace oleanderhall {

namespace {

std::string &hostName()
{
    static std::string name;
    return name;
}

std::string lineOf(std::string_view event, LogFields fields)
{
    web::json::value line = web::json::value::object();
    line["event"] = web::json::value::string(std::string(event));
    line["entry"] = web::json::value::string(hostName());
    for (const auto &[name, value] : fields)
        line[std::string(name)] = web::json::value::string(value);
    return line.serialize();
}

} // namespace

void startLog(const std::string &host)
{
    hostName() = host;
    el::Configurations config;
    config.setToDefault();
    config.setGlobally(el::ConfigurationType::ToFile, "false");
    config.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    config.setGlobally(el::ConfigurationType::Format,
                       "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level %msg");
    el::Loggers::reconfigureAllLoggers(config);
}

void logInfo(std::string_view event, LogFields fields)
{
    LOG(INFO) << lineOf(event, fields);
}

void logWarning(std::string_view event, LogFields fields)
{
    LOG(WARNING) << lineOf(event, fields);
}

} // namespace oleanderhall
