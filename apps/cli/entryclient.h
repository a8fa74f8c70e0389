#pragma once

#include <cpprest/json.h>

#include <string>
#include <vector>

namespace cli {

/// The answer of an entry host to an operator's call.
struct EntryResponse
{
    int status = 0;
    web::json::value body;
};

/// An EntryClient calls the operators' side of entry hosts. Reads go to the first that answers;
/// changes go to one only, because a change whose answer was lost may have been made.
class EntryClient
{
public:
    explicit EntryClient(std::vector<std::string> urls)
        : m_urls(std::move(urls))
    {}

    EntryResponse get(const std::string &path) const;
    /// Asks all entry hosts and returns the first answer with status 200, else the last one.
    EntryResponse getFromAny(const std::string &path) const;
    /// Asks all entry hosts and joins the array `key` of their answers, one element for each `id`;
    /// an element that has the member `preferred` goes first. Each entry host knows only why hosts
    /// of its own pools wait.
    EntryResponse getMerged(const std::string &path, const std::string &key, const std::string &id,
                            const std::string &preferred) const;
    EntryResponse post(const std::string &path, const web::json::value &body, bool isDryRun) const;

private:
    std::vector<std::string> m_urls;
};

} // namespace cli
