#include "httpcall.h"

#include "oleanderhall/core/errors.h"

#include <cpprest/http_client.h>

#include <system_error>

namespace oleanderhall {

namespace {

constexpr int kOk = 200;

bool wasNothingSent(const std::error_code &code)
{
    return code == std::errc::connection_refused || code == std::errc::host_unreachable
        || code == std::errc::network_unreachable;
}

} // namespace

HttpAnswer callPlatform(const HttpCall &call)
{
    web::http::client::http_client_config config;
    config.set_timeout(call.timeout);
    try {
        web::http::client::http_client client(web::uri(call.url), config);
        web::http::http_request request(call.method);
        for (const auto &[name, value] : call.headers)
            request.headers().add(name, value);
        if (call.body)
            request.set_body(*call.body, "application/x-amz-json-1.0");
        web::http::http_response response = client.request(request).get();
        return {response.status_code(), response.extract_utf8string(true).get()};
    } catch (const web::http::http_exception &error) {
        const std::string what = call.method + " " + call.url + ": " + error.what();
        if (wasNothingSent(error.error_code()))
            throw PlatformUnavailable(what);
        throw OutcomeUnknown(what);
    } catch (const web::uri_exception &error) {
        throw PlatformUnavailable(call.url + ": " + error.what());
    }
}

std::string fetchFromPlatform(const HttpCall &call)
{
    try {
        HttpAnswer answer = callPlatform(call);
        if (answer.status != kOk)
            throw PlatformUnavailable(call.url + ": status " + std::to_string(answer.status));
        return std::move(answer.body);
    } catch (const OutcomeUnknown &error) {
        throw PlatformUnavailable(error.what());
    }
}

} // namespace oleanderhall
