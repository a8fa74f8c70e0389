#include "oleanderhall/platform/hostlist.h"

#include "httpcall.h"

#include "oleanderhall/core/errors.h"

#include <cpprest/json.h>

namespace oleanderhall {

namespace {

HostList parseHostList(const std::string &text)
{
    HostList list;
    const web::json::value json = web::json::value::parse(text);
    for (const auto &group : json.as_array()) {
        const bool isLeaving = group.at("labels").at("state").as_string() == "leaving";
        const ListedState state = isLeaving ? ListedState::Leaving : ListedState::Live;
        for (const auto &target : group.at("targets").as_array())
            list.insert_or_assign(target.as_string(), state);
    }
    return list;
}

} // namespace

HostList fetchHostList(const std::string &address, Millis timeout)
{
    const std::string text = fetchFromPlatform(
        {.method = "GET", .url = address, .headers = {}, .body = std::nullopt, .timeout = timeout});
    try {
        return parseHostList(text);
    } catch (const web::json::json_exception &error) {
        throw PlatformUnavailable(std::string("the host list is malformed: ") + error.what());
    }
}

} // namespace oleanderhall
