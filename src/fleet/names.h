#pragma once

#include <array>
#include <optional>
#include <string_view>
#include <utility>

namespace oleanderhall {

/// Internal: the name of each value of an enumeration.
template <typename Enum, std::size_t Size>
using NameTable = std::array<std::pair<Enum, std::string_view>, Size>;

/// Internal: returns the name of `wanted` in `table`, or "invalid" if it has none.
template <typename Enum, std::size_t Size>
std::string_view nameIn(const NameTable<Enum, Size> &table, Enum wanted)
{
    for (const auto &[value, name] : table) {
        if (value == wanted)
            return name;
    }
    return "invalid";
}

/// Internal: returns the value with the name `wanted`, or nothing if there is none.
template <typename Enum, std::size_t Size>
std::optional<Enum> valueIn(const NameTable<Enum, Size> &table, std::string_view wanted)
{
    for (const auto &[value, name] : table) {
        if (name == wanted)
            return value;
    }
    return std::nullopt;
}

} // namespace oleanderhall
