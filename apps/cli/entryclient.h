#pragma once

#include <cpprest/json.h>

#include <string>
#include <vector>

namespace cli {

/// An entry host's response to an operator's request: HTTP status and JSON body.
struct EntryResponse
{
    int status = 0;
    web::json::value body;
};

/// An EntryClient sends requests to the operators' API of entry hosts. All functions block for up
/// to 15 s per entry host and throw std::runtime_error when no entry host responds.
class EntryClient
{
public:
    explicit EntryClient(std::vector<std::string> urls)
        : m_urls(std::move(urls))
    {}

    /// Tries the entry hosts in order and returns the first response, whatever its status.
    EntryResponse get(const std::string &path) const;
    /// Tries the entry hosts in order until one responds with status 200; else returns the last
    /// response.
    EntryResponse getFromAny(const std::string &path) const;
    /// Queries all entry hosts and merges the array `key` of their responses by the member `idKey`
    /// of its elements. An element with the member `preferredKey` replaces one without it, because
    /// each entry host knows only why hosts of its own pools wait. Returns the first response with
    /// a status other than 200 unchanged; skips entry hosts that don't respond.
    EntryResponse getMerged(const std::string &path, const std::string &key,
                            const std::string &idKey, const std::string &preferredKey) const;
    /// Sends a change to the first entry host only: a change whose response was lost may have been
    /// made, so it isn't repeated at another one.
    EntryResponse post(const std::string &path, const web::json::value &body, bool isDryRun) const;

private:
    std::vector<std::string> m_urls;
};

} // namespace cli
