#include "httpcall.h"

#include "oleanderhall/core/errors.h"

#include <cpprest/http_client.h>

#include <map>
#include <memory>
#include <system_error>

namespace oleanderhall {

using web::http::client::http_client;

namespace {

constexpr int kOk = 200;

bool failedBeforeSending(const std::error_code &code)
{
    return code == std::errc::connection_refused || code == std::errc::host_unreachable
        || code == std::errc::network_unreachable;
}

std::string authorityOf(const std::string &url)
{
    const web::uri parsed(url);
    return parsed.scheme() + "://" + parsed.host() + ":" + std::to_string(parsed.port());
}

std::unique_ptr<http_client> clientFor(const PlatformCall &call)
{
    web::http::client::http_client_config config;
    config.set_timeout(call.timeout);
    try {
        return std::make_unique<http_client>(web::uri(authorityOf(call.url)), config);
    } catch (const std::exception &error) {
        throw PlatformUnavailable(call.url + ": " + error.what());
    }
}

PlatformResponse callWithClient(const std::unique_ptr<http_client> &client,
                                const PlatformCall &call)
{
    try {
        web::http::http_request request(call.method);
        request.set_request_uri(web::uri(call.url).resource());
        for (const auto &[name, value] : call.headers)
            request.headers().add(name, value);
        if (call.body)
            request.set_body(*call.body, "application/x-amz-json-1.0");
        web::http::http_response httpResponse = client->request(request).get();
        return {httpResponse.status_code(), httpResponse.extract_utf8string(true).get()};
    } catch (const web::http::http_exception &error) {
        const std::string what = call.method + " " + call.url + ": " + error.what();
        if (failedBeforeSending(error.error_code()))
            throw PlatformUnavailable(what);
        throw OutcomeUnknown(what);
    }
}

} // namespace

void requireOk(const PlatformResponse &response, const std::string &url)
{
    if (response.status != kOk)
        throw PlatformUnavailable(url + ": status " + std::to_string(response.status));
}

PlatformResponse callPlatform(const PlatformCall &call)
{
    return callWithClient(clientFor(call), call);
}

std::string fetchFromPlatform(const PlatformCall &call)
{
    thread_local std::map<std::string, std::unique_ptr<http_client>> clients;
    std::unique_ptr<http_client> &client = clients[authorityOf(call.url)];
    try {
        if (!client)
            client = clientFor(call);
        PlatformResponse response = callWithClient(client, call);
        requireOk(response, call.url);
        return std::move(response.body);
    } catch (const OutcomeUnknown &error) {
        client.reset();
        throw PlatformUnavailable(error.what());
    } catch (const PlatformUnavailable &) {
        client.reset();
        throw;
    }
}

} // namespace oleanderhall
