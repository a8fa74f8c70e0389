#include "tableservice.h"

#include <chrono>

namespace standin {

using web::json::value;

namespace {

constexpr int kBadRequest = 400;
constexpr std::size_t kMaxTransactItems = 100;
constexpr std::string_view kOperationPrefix = "DynamoDB_20120810.";

std::pair<std::string, std::string> keyIn(const value &json)
{
    return {json.at("pk").at("S").as_string(), json.at("sk").at("S").as_string()};
}

std::int64_t nowUs()
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

TableResponse validationError(const std::string &message)
{
    TableResponse response{.status = kBadRequest};
    response.body["__type"] = value::string("com.amazonaws.dynamodb.v20120810#ValidationException");
    response.body["message"] = value::string(message);
    return response;
}

TableResponse transactionCanceled(const std::vector<bool> &failed)
{
    TableResponse response{.status = kBadRequest};
    response.body["__type"] = value::string(
        "com.amazonaws.dynamodb.v20120810#TransactionCanceledException");
    value reasons = value::array(failed.size());
    for (std::size_t index = 0; index < failed.size(); ++index)
        reasons[index]["Code"] = value::string(failed[index] ? "ConditionalCheckFailed" : "None");
    response.body["CancellationReasons"] = reasons;
    return response;
}

std::pair<std::string, value> firstMember(const value &item)
{
    const auto &entry = *item.as_object().begin();
    return {entry.first, entry.second};
}

} // namespace

TableResponse TableService::handleRequest(const std::string &operation, const value &request)
{
    if (operation == std::string(kOperationPrefix) + "TransactWriteItems")
        return transact(request);
    if (operation == std::string(kOperationPrefix) + "GetItem")
        return getItem(request);
    if (operation == std::string(kOperationPrefix) + "Query")
        return query(request);
    return validationError("unknown operation " + operation);
}

value TableService::journal() const
{
    const std::lock_guard lock(m_mutex);
    value result = value::array(m_commits.size());
    for (std::size_t index = 0; index < m_commits.size(); ++index) {
        result[index]["atUs"] = value::number(m_commits[index].atUs);
        result[index]["token"] = value::string(m_commits[index].token);
    }
    return result;
}

TableResponse TableService::transact(const value &request)
{
    const auto &items = request.at("TransactItems").as_array();
    if (items.size() > kMaxTransactItems)
        return validationError("more than 100 items in a transaction");
    const std::lock_guard lock(m_mutex);
    std::vector<bool> failed;
    bool hasFailed = false;
    for (const value &item : items) {
        const auto [name, action] = firstMember(item);
        const Key key = keyIn(name == "Put" ? action.at("Item") : action.at("Key"));
        failed.push_back(!conditionHolds(action, key));
        hasFailed = hasFailed || failed.back();
    }
    if (hasFailed)
        return transactionCanceled(failed);
    for (const value &item : items) {
        const auto [name, action] = firstMember(item);
        if (name == "Put")
            m_items.insert_or_assign(keyIn(action.at("Item")), action.at("Item"));
        else if (name == "Delete")
            m_items.erase(keyIn(action.at("Key")));
    }
    m_commits.push_back({nowUs(), request.at("ClientRequestToken").as_string()});
    return {};
}

TableResponse TableService::getItem(const value &request)
{
    const std::lock_guard lock(m_mutex);
    TableResponse response;
    const auto found = m_items.find(keyIn(request.at("Key")));
    if (found != m_items.end())
        response.body["Item"] = found->second;
    return response;
}

TableResponse TableService::query(const value &request)
{
    const auto &values = request.at("ExpressionAttributeValues");
    const std::string partition = values.at(":pk").at("S").as_string();
    const std::string after = values.has_field(":sk") ? values.at(":sk").at("S").as_string()
                                                      : std::string();
    const auto limit = static_cast<std::size_t>(request.at("Limit").as_integer());
    const std::lock_guard lock(m_mutex);
    TableResponse response;
    value items = value::array();
    std::size_t count = 0;
    auto item = m_items.upper_bound({partition, after});
    for (; item != m_items.end() && item->first.first == partition && count < limit; ++item)
        items[count++] = item->second;
    if (item != m_items.end() && item->first.first == partition && count > 0) {
        response.body["LastEvaluatedKey"]["pk"] = items[count - 1].at("pk");
        response.body["LastEvaluatedKey"]["sk"] = items[count - 1].at("sk");
    }
    response.body["Items"] = items;
    return response;
}

bool TableService::conditionHolds(const value &action, const Key &key) const
{
    if (!action.has_field("ConditionExpression"))
        return true;
    const auto found = m_items.find(key);
    if (action.at("ConditionExpression").as_string() == "attribute_not_exists(pk)")
        return found == m_items.end();
    if (found == m_items.end())
        return false;
    return found->second.at("ver") == action.at("ExpressionAttributeValues").at(":ver");
}

} // namespace standin
