#pragma once

#include <array>
#include <optional>
#include <string_view>
#include <utility>

namespace oleanderhall {

/// Internal: pairs each value of an enumeration with its name.
template <typename Enum, std::size_t Size>
using NameTable = std::array<std::pair<Enum, std::string_view>, Size>;

/// Internal: returns the name that `table` gives to `wanted`.
template <typename Enum, std::size_t Size>
std::string_view nameIn(const NameTable<Enum, Size> &table, Enum wanted)
{
    for (const auto &[value, name] : table) {
        if (value == wanted)
            return name;
    }
    return "invalid";
}

/// Internal: returns the value whose name is `wanted`, or nothing.
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
