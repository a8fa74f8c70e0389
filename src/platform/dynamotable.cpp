#include "oleanderhall/platform/dynamotable.h"

#include "httpcall.h"

#include "oleanderhall/core/errors.h"
#include "oleanderhall/core/jsoncursor.h"

#include <charconv>

namespace oleanderhall {

using web::json::value;

namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kServiceUnavailable = 503;
constexpr const char *kTableName = "oleanderhall";

value textAttribute(const std::string &text)
{
    value result = value::object();
    result["S"] = value::string(text);
    return result;
}

value numberAttribute(std::uint64_t number)
{
    value result = value::object();
    result["N"] = value::string(std::to_string(number));
    return result;
}

value keyAttributes(const TableKey &key)
{
    value result = value::object();
    result["pk"] = textAttribute(key.partition);
    result["sk"] = textAttribute(key.row);
    return result;
}

value actionBody(const TableWrite &write)
{
    value action = value::object();
    action["TableName"] = value::string(kTableName);
    if (write.kind == TableWrite::Kind::Put) {
        value item = keyAttributes(write.key);
        item["ver"] = numberAttribute(write.version);
        item["data"] = textAttribute(write.data);
        action["Item"] = item;
    } else {
        action["Key"] = keyAttributes(write.key);
    }
    if (write.expectedVersion && *write.expectedVersion == TableWrite::kAbsent) {
        action["ConditionExpression"] = value::string("attribute_not_exists(pk)");
    } else if (write.expectedVersion) {
        action["ConditionExpression"] = value::string("ver = :ver");
        action["ExpressionAttributeValues"][":ver"] = numberAttribute(*write.expectedVersion);
    }
    return action;
}

std::string_view actionName(TableWrite::Kind kind)
{
    if (kind == TableWrite::Kind::Put)
        return "Put";
    return kind == TableWrite::Kind::Delete ? "Delete" : "ConditionCheck";
}

PlatformCall makeCall(const std::string &address, const std::string &operation, const value &body,
                      Millis timeout)
{
    return {.method = "POST",
            .url = address,
            .headers = {{"X-Amz-Target", "DynamoDB_20120810." + operation}},
            .body = body.serialize(),
            .timeout = timeout};
}

TableItem parseItem(const value &json)
{
    TableItem item;
    item.key.partition = json.at("pk").at("S").as_string();
    item.key.row = json.at("sk").at("S").as_string();
    item.data = json.at("data").at("S").as_string();
    const std::string &version = json.at("ver").at("N").as_string();
    const auto [end, failed] = std::from_chars(version.data(), version.data() + version.size(),
                                               item.version);
    if (failed != std::errc() || end != version.data() + version.size())
        throw PlatformUnavailable("the table returned a row version that is not a number");
    return item;
}

[[noreturn]] void throwTransactionError(const PlatformResponse &response)
{
    const value json = value::parse(response.body);
    std::vector<std::size_t> failed;
    if (json.has_array_field("CancellationReasons")) {
        const auto &reasons = json.at("CancellationReasons").as_array();
        for (std::size_t index = 0; index < reasons.size(); ++index) {
            if (reasons.at(index).at("Code").as_string() == "ConditionalCheckFailed")
                failed.push_back(index);
        }
    }
    if (failed.empty())
        throw PlatformUnavailable("the table rejected the transaction: " + response.body);
    throw ConditionFailed("a condition of the transaction failed", failed);
}

/// Returns the result of `parse`. Throws PlatformUnavailable instead of its JSON errors.
template <typename Parse>
auto parseResponse(const Parse &parse)
{
    try {
        return parse();
    } catch (const web::json::json_exception &error) {
        throw PlatformUnavailable(std::string("the table's response is malformed: ")
                                  + error.what());
    }
}

} // namespace

DynamoTable::DynamoTable(std::string address, Millis timeout)
    : m_address(std::move(address))
    , m_timeout(timeout)
{}

void DynamoTable::transact(const std::vector<TableWrite> &writes, const std::string &token)
{
    value body = value::object();
    body["ClientRequestToken"] = value::string(token);
    value items = value::array(writes.size());
    for (std::size_t index = 0; index < writes.size(); ++index)
        items[index][std::string(actionName(writes[index].kind))] = actionBody(writes[index]);
    body["TransactItems"] = items;
    const PlatformResponse response = callPlatform(
        makeCall(m_address, "TransactWriteItems", body, m_timeout));
    if (response.status == kOk)
        return;
    if (response.status == kBadRequest)
        parseResponse([&response] { throwTransactionError(response); });
    const std::string what = "the table returned status " + std::to_string(response.status);
    if (response.status == kServiceUnavailable)
        throw PlatformUnavailable(what);
    throw OutcomeUnknown(what);
}

std::optional<TableItem> DynamoTable::read(const TableKey &key)
{
    value body = value::object();
    body["TableName"] = value::string(kTableName);
    body["Key"] = keyAttributes(key);
    body["ConsistentRead"] = value::boolean(true);
    const std::string response = fetchFromPlatform(makeCall(m_address, "GetItem", body, m_timeout));
    return parseResponse([&response]() -> std::optional<TableItem> {
        const value json = value::parse(response);
        if (!json.has_object_field("Item"))
            return std::nullopt;
        return parseItem(json.at("Item"));
    });
}

TablePage DynamoTable::query(const TableQuery &query)
{
    value body = value::object();
    body["TableName"] = value::string(kTableName);
    body["ConsistentRead"] = value::boolean(true);
    body["Limit"] = value::number(static_cast<std::uint64_t>(query.limit));
    body["ExpressionAttributeValues"][":pk"] = textAttribute(query.partition);
    if (query.after.empty()) {
        body["KeyConditionExpression"] = value::string("pk = :pk");
    } else {
        body["KeyConditionExpression"] = value::string("pk = :pk AND sk > :sk");
        body["ExpressionAttributeValues"][":sk"] = textAttribute(query.after);
    }
    const std::string response = fetchFromPlatform(makeCall(m_address, "Query", body, m_timeout));
    return parseResponse([&response] {
        const value json = value::parse(response);
        TablePage page;
        for (const value &item : json.at("Items").as_array())
            page.items.push_back(parseItem(item));
        if (json.has_object_field("LastEvaluatedKey"))
            page.nextAfter = json.at("LastEvaluatedKey").at("sk").at("S").as_string();
        return page;
    });
}

} // namespace oleanderhall
