#include "oleanderhall/platform/httpobjectstore.h"

#include "httpcall.h"

#include "oleanderhall/core/errors.h"

namespace oleanderhall {

HttpObjectStore::HttpObjectStore(std::string address, Millis timeout)
    : m_address(std::move(address))
    , m_timeout(timeout)
{}

void HttpObjectStore::put(const std::string &key, const std::string &data)
{
    try {
        const HttpResult answer = callPlatform({.method = "PUT",
                                                .url = m_address + "/" + key,
                                                .headers = {},
                                                .body = data,
                                                .timeout = m_timeout});
        requireOk(answer, m_address + "/" + key);
    } catch (const OutcomeUnknown &error) {
        throw PlatformUnavailable(error.what()); // An object that nothing names does no harm.
    }
}

std::string HttpObjectStore::fetch(const std::string &key)
{
    return fetchFromPlatform({.method = "GET",
                              .url = m_address + "/" + key,
                              .headers = {},
                              .body = std::nullopt,
                              .timeout = m_timeout});
}

} // namespace oleanderhall
