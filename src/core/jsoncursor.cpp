#include "oleanderhall/core/jsoncursor.h"

#include "oleanderhall/core/errors.h"

#include <algorithm>
#include <set>

namespace oleanderhall {

namespace {

std::string pointerTo(const std::string &location, std::string_view key)
{
    std::string escaped;
    for (const char character : key) {
        if (character == '~')
            escaped += "~0";
        else if (character == '/')
            escaped += "~1";
        else
            escaped += character;
    }
    return location + "/" + escaped;
}

} // namespace

JsonCursor::JsonCursor(const web::json::value &value, std::string file, std::string location,
                       FindingList &findings)
    : m_value(value)
    , m_file(std::move(file))
    , m_location(std::move(location))
    , m_findings(findings)
{
    if (!m_value.is_object())
        m_findings.add({m_file, m_location, "is not an object", "a JSON object"});
}

const web::json::value *JsonCursor::member(std::string_view key, bool required) const
{
    if (!m_value.is_object())
        return nullptr;
    const auto &object = m_value.as_object();
    const auto found = object.find(std::string(key));
    if (found != object.end())
        return &found->second;
    if (required)
        report(key, "is missing", "a value");
    return nullptr;
}

std::string JsonCursor::text(std::string_view key, std::size_t longest) const
{
    const web::json::value *found = member(key, true);
    if (!found)
        return {};
    if (found->is_string() && !found->as_string().empty() && found->as_string().size() <= longest)
        return found->as_string();
    report(key, "is not a valid string", "a string of 1 to " + std::to_string(longest) + " bytes");
    return {};
}

std::string JsonCursor::textOr(std::string_view key, std::string_view fallback) const
{
    if (!member(key, false))
        return std::string(fallback);
    return text(key);
}

std::int64_t JsonCursor::number(std::string_view key, std::int64_t low, std::int64_t high) const
{
    const web::json::value *found = member(key, true);
    if (!found)
        return low;
    if (found->is_integer() && found->as_number().is_int64()) {
        const std::int64_t result = found->as_number().to_int64();
        if (result >= low && result <= high)
            return result;
    }
    report(key, "is out of range",
           "an integer from " + std::to_string(low) + " to " + std::to_string(high));
    return low;
}

std::int64_t JsonCursor::numberOr(std::string_view key, std::int64_t low, std::int64_t high,
                                  std::int64_t fallback) const
{
    if (!member(key, false))
        return fallback;
    return number(key, low, high);
}

void JsonCursor::forEach(std::string_view key, bool required,
                         const std::function<void(const JsonCursor &)> &visit) const
{
    const web::json::value *found = member(key, required);
    if (!found)
        return;
    if (!found->is_array()) {
        report(key, "is not an array", "a JSON array");
        return;
    }
    std::size_t index = 0;
    for (const web::json::value &element : found->as_array()) {
        const std::string location = pointerTo(m_location, key) + "/" + std::to_string(index++);
        visit(JsonCursor(element, m_file, location, m_findings));
    }
}

void JsonCursor::ifPresent(std::string_view key,
                           const std::function<void(const JsonCursor &)> &visit) const
{
    const web::json::value *found = member(key, false);
    if (found)
        visit(JsonCursor(*found, m_file, pointerTo(m_location, key), m_findings));
}

void JsonCursor::allowOnly(std::initializer_list<std::string_view> known) const
{
    if (!m_value.is_object())
        return;
    std::set<std::string_view> seen;
    for (const auto &[key, unused] : m_value.as_object()) {
        if (std::find(known.begin(), known.end(), key) == known.end())
            report(key, "is not known", "a member defined by the schema");
        if (!seen.insert(key).second)
            report(key, "is duplicated", "each member once");
    }
}

void JsonCursor::report(std::string_view key, std::string problem, std::string expected) const
{
    const std::string location = key.empty() ? m_location : pointerTo(m_location, key);
    m_findings.add({m_file, location, std::move(problem), std::move(expected)});
}

web::json::value parseJson(const std::string &text, const std::string &file)
{
    try {
        return web::json::value::parse(text);
    } catch (const web::json::json_exception &error) {
        FindingList findings;
        findings.add({file, "", std::string("is not JSON: ") + error.what(), "a JSON document"});
        throw InvalidDocument(std::move(findings));
    }
}

} // namespace oleanderhall
