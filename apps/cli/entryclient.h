#pragma once

#include <cpprest/json.h>

#include <string>
#include <vector>

namespace cli {

/// The answer of an entry host to an operator's call.
struct EntryAnswer
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

    EntryAnswer get(const std::string &path) const;
    /// Asks all entry hosts and returns the first answer with status 200, else the last one.
    EntryAnswer getFromAny(const std::string &path) const;
    EntryAnswer post(const std::string &path, const web::json::value &body, bool isDryRun) const;

private:
    std::vector<std::string> m_urls;
};

} // namespace cli
