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
constexpr int kUnavailable = 503;
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

value keyOf(const TableKey &key)
{
    value result = value::object();
    result["pk"] = textAttribute(key.partition);
    result["sk"] = textAttribute(key.row);
    return result;
}

value actionOf(const TableWrite &write)
{
    value action = value::object();
    action["TableName"] = value::string(kTableName);
    if (write.kind == TableWrite::Kind::Put) {
        value item = keyOf(write.key);
        item["ver"] = numberAttribute(write.version);
        item["data"] = textAttribute(write.data);
        action["Item"] = item;
    } else {
        action["Key"] = keyOf(write.key);
    }
    if (write.expected && *write.expected == TableWrite::kAbsent) {
        action["ConditionExpression"] = value::string("attribute_not_exists(pk)");
    } else if (write.expected) {
        action["ConditionExpression"] = value::string("ver = :ver");
        action["ExpressionAttributeValues"][":ver"] = numberAttribute(*write.expected);
    }
    return action;
}

std::string_view actionName(TableWrite::Kind kind)
{
    if (kind == TableWrite::Kind::Put)
        return "Put";
    return kind == TableWrite::Kind::Delete ? "Delete" : "ConditionCheck";
}

HttpCall callOf(const std::string &address, const std::string &operation, const value &body,
                Millis timeout)
{
    return {.method = "POST",
            .url = address,
            .headers = {{"X-Amz-Target", "DynamoDB_20120810." + operation}},
            .body = body.serialize(),
            .timeout = timeout};
}

TableItem itemOf(const value &json)
{
    TableItem item;
    item.key.partition = json.at("pk").at("S").as_string();
    item.key.row = json.at("sk").at("S").as_string();
    item.data = json.at("data").at("S").as_string();
    const std::string &version = json.at("ver").at("N").as_string();
    const auto [end, failed] = std::from_chars(version.data(), version.data() + version.size(),
                                               item.version);
    if (failed != std::errc() || end != version.data() + version.size())
        throw PlatformUnavailable("the table answered a version that is no number");
    return item;
}

[[noreturn]] void throwRefusal(const HttpResult &answer)
{
    const value json = value::parse(answer.body);
    std::vector<std::size_t> failed;
    if (json.has_array_field("CancellationReasons")) {
        const auto &reasons = json.at("CancellationReasons").as_array();
        for (std::size_t index = 0; index < reasons.size(); ++index) {
            if (reasons.at(index).at("Code").as_string() == "ConditionalCheckFailed")
                failed.push_back(index);
        }
    }
    if (failed.empty())
        throw PlatformUnavailable("the table refused the transaction: " + answer.body);
    throw ConditionFailed("a condition of the transaction failed", failed);
}

/// Runs `parse` on a platform answer and reports a malformed one as an unusable answer.
template <typename Parse>
auto parseAnswer(const Parse &parse)
{
    try {
        return parse();
    } catch (const web::json::json_exception &error) {
        throw PlatformUnavailable(std::string("the table's answer is malformed: ") + error.what());
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
        items[index][std::string(actionName(writes[index].kind))] = actionOf(writes[index]);
    body["TransactItems"] = items;
    const HttpResult answer = callPlatform(
        callOf(m_address, "TransactWriteItems", body, m_timeout));
    if (answer.status == kOk)
        return;
    if (answer.status == kBadRequest)
        parseAnswer([&answer] { throwRefusal(answer); });
    const std::string what = "the table answered status " + std::to_string(answer.status);
    if (answer.status == kUnavailable)
        throw PlatformUnavailable(what);
    throw OutcomeUnknown(what);
}

std::optional<TableItem> DynamoTable::read(const TableKey &key)
{
    value body = value::object();
    body["TableName"] = value::string(kTableName);
    body["Key"] = keyOf(key);
    body["ConsistentRead"] = value::boolean(true);
    const std::string answer = fetchFromPlatform(callOf(m_address, "GetItem", body, m_timeout));
    return parseAnswer([&answer]() -> std::optional<TableItem> {
        const value json = value::parse(answer);
        if (!json.has_object_field("Item"))
            return std::nullopt;
        return itemOf(json.at("Item"));
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
    const std::string answer = fetchFromPlatform(callOf(m_address, "Query", body, m_timeout));
    return parseAnswer([&answer] {
        const value json = value::parse(answer);
        TablePage page;
        for (const value &item : json.at("Items").as_array())
            page.items.push_back(itemOf(item));
        if (json.has_object_field("LastEvaluatedKey"))
            page.nextAfter = json.at("LastEvaluatedKey").at("sk").at("S").as_string();
        return page;
    });
}

} // namespace oleanderhall
