#include "entryclient.h"

#include <cpprest/http_client.h>

#include <map>
#include <stdexcept>

namespace cli {

namespace {

constexpr std::chrono::seconds kTimeout{15};
constexpr int kStatusOk = 200;

EntryResponse call(const std::string &url, const web::http::http_request &request)
{
    web::http::client::http_client_config config;
    config.set_timeout(kTimeout);
    web::http::client::http_client client(web::uri(url), config);
    const web::http::http_response response = client.request(request).get();
    return {response.status_code(), response.extract_json(true).get()};
}

EntryResponse getFrom(const std::string &url, const std::string &path)
{
    web::http::http_request request(web::http::methods::GET);
    request.set_request_uri(path);
    return call(url, request);
}

} // namespace

EntryResponse EntryClient::get(const std::string &path) const
{
    std::string failures;
    for (const std::string &url : m_urls) {
        try {
            return getFrom(url, path);
        } catch (const std::exception &error) {
            failures += url + ": " + error.what() + "; ";
        }
    }
    throw std::runtime_error("no entry host responded: " + failures);
}

EntryResponse EntryClient::getFromAny(const std::string &path) const
{
    EntryResponse last;
    for (const std::string &url : m_urls) {
        try {
            last = getFrom(url, path);
        } catch (const std::exception &) {
            continue;
        }
        if (last.status == kStatusOk)
            return last;
    }
    if (last.status == 0)
        throw std::runtime_error("no entry host responded");
    return last;
}

EntryResponse EntryClient::getMerged(const std::string &path, const std::string &key,
                                     const std::string &idKey,
                                     const std::string &preferredKey) const
{
    EntryResponse merged;
    std::map<std::string, web::json::value> elements;
    for (const std::string &url : m_urls) {
        EntryResponse entryResponse;
        try {
            entryResponse = getFrom(url, path);
        } catch (const std::exception &) {
            continue;
        }
        merged.status = entryResponse.status;
        if (entryResponse.status != kStatusOk)
            return entryResponse;
        for (const web::json::value &element : entryResponse.body.at(key).as_array()) {
            const std::string name = element.at(idKey).as_string();
            if (!elements.contains(name) || element.has_field(preferredKey))
                elements[name] = element;
        }
    }
    if (merged.status == 0)
        throw std::runtime_error("no entry host responded");
    web::json::value array = web::json::value::array(elements.size());
    std::size_t index = 0;
    for (const auto &[name, element] : elements)
        array[index++] = element;
    merged.body[key] = array;
    return merged;
}

EntryResponse EntryClient::post(const std::string &path, const web::json::value &body,
                                bool isDryRun) const
{
    web::http::http_request request(web::http::methods::POST);
    request.set_request_uri(path + (isDryRun ? "?dryRun=1" : ""));
    request.set_body(body);
    try {
        return call(m_urls.front(), request);
    } catch (const std::exception &error) {
        throw std::runtime_error(m_urls.front() + ": " + error.what()
                                 + "; the change may have been made: check the status");
    }
}

} // namespace cli
