#pragma once

#include <cpprest/json.h>

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace standin {

/// The response to a table call: an HTTP status and a JSON body.
struct TableResponse
{
    int status = 200;
    web::json::value body = web::json::value::object();
};

/// A TableService is an in-memory transactional table with the DynamoDB JSON protocol. It
/// implements the subset that oleanderhall uses: TransactWriteItems with the conditions
/// attribute_not_exists(pk) and ver = :ver, GetItem, and Query in key order. Thread-safe.
class TableService
{
public:
    /// Executes an operation, which is the value of the X-Amz-Target header. Responds with status
    /// 400 to an unknown operation, a transaction of more than 100 items or a failed condition.
    /// Throws on a malformed request.
    TableResponse handleRequest(const std::string &operation, const web::json::value &request);

    /// Returns the committed transactions in order: time in microseconds of the monotonic clock and
    /// request token.
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
