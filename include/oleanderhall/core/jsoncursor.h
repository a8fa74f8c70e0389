#pragma once

#include "oleanderhall/core/findinglist.h"

#include <cpprest/json.h>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace oleanderhall {

/// A JsonCursor reads the members of one JSON object. It records a Finding with a JSON pointer for
/// every member that is missing, of the wrong type, out of range or unknown. After a finding it
/// returns a default value, so that one pass reports all findings.
class JsonCursor
{
public:
    /// Creates a cursor for `value` at the JSON pointer `location` of `file`. Records a finding if
    /// `value` is not an object. `value` and `findings` must outlive the cursor.
    JsonCursor(const web::json::value &value, std::string file, std::string location,
               FindingList &findings);

    /// Returns the required, non-empty string member `key`, at most `kMaxNameLength` bytes long.
    std::string text(std::string_view key) const { return text(key, kMaxNameLength); }
    /// Returns the required, non-empty string member `key`, at most `longest` bytes long.
    std::string text(std::string_view key, std::size_t longest) const;
    /// Returns the optional string member `key`, or `fallback`.
    std::string textOr(std::string_view key, std::string_view fallback) const;
    /// Returns the required integer member `key`, which must lie between `low` and `high`.
    std::int64_t number(std::string_view key, std::int64_t low, std::int64_t high) const;
    /// Returns the optional integer member `key`, or `fallback`.
    std::int64_t numberOr(std::string_view key, std::int64_t low, std::int64_t high,
                          std::int64_t fallback) const;
    /// Calls `visit` with a cursor for each element of the array member `key`. If the member is
    /// missing, records a finding only if it is `required`.
    void forEach(std::string_view key, bool required,
                 const std::function<void(const JsonCursor &)> &visit) const;
    /// Calls `visit` with a cursor for the object member `key` if the member exists.
    void ifPresent(std::string_view key,
                   const std::function<void(const JsonCursor &)> &visit) const;
    /// Records a finding for every member that is not in `known` or that occurs more than once.
    void allowOnly(std::initializer_list<std::string_view> known) const;
    /// Records a finding at the member `key`, or at this value if `key` is empty.
    void report(std::string_view key, std::string problem, std::string expected) const;

    const web::json::value &value() const { return m_value; }
    const std::string &location() const { return m_location; }

    static constexpr std::size_t kMaxNameLength = 256; // bytes

private:
    const web::json::value *member(std::string_view key, bool required) const;

    const web::json::value &m_value;
    std::string m_file;
    std::string m_location;
    FindingList &m_findings;
};

/// Parses `text` as JSON. Throws InvalidDocument with a finding in `file` if it is not JSON.
web::json::value parseJson(const std::string &text, const std::string &file);

} // namespace oleanderhall
