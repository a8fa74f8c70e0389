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
        const PlatformResponse response = callPlatform({.method = "PUT",
                                                        .url = m_address + "/" + key,
                                                        .headers = {},
                                                        .body = data,
                                                        .timeout = m_timeout});
        requireOk(response, m_address + "/" + key);
    } catch (const OutcomeUnknown &error) {
        throw PlatformUnavailable(error.what()); // An unreferenced object is harmless.
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
