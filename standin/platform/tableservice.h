#pragma once

#include <cpprest/json.h>

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace standin {

/// The answer to a table call: an HTTP status and a JSON body.
struct TableResponse
{
    int status = 200;
    web::json::value body = web::json::value::object();
};

/// A TableService is a small transactional table behind the DynamoDB JSON protocol. It knows what
/// oleanderhall uses: TransactWriteItems with the conditions attribute_not_exists(pk) and
/// ver = :ver, GetItem, and Query in key order.
class TableService
{
public:
    TableResponse handleRequest(const std::string &operation, const web::json::value &request);

    /// Returns the journal of committed transactions: time in microseconds and request token.
    web::json::value journal() const;

private:
    using Key = std::pair<std::string, std::string>;
    struct Commit
    {
        std::int64_t atUs;
        std::string token;
    };

    TableResponse transact(const web::json::value &request);
    TableResponse getItem(const web::json::value &request);
    TableResponse query(const web::json::value &request);
    bool conditionHolds(const web::json::value &action, const Key &key) const;

    mutable std::mutex m_mutex;
    std::map<Key, web::json::value> m_items;
    std::vector<Commit> m_commits;
};

} // namespace standin
