#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace oleanderhall {

/// Names a row of the platform's table.
struct TableKey
{
    std::string partition;
    std::string row;

    friend auto operator<=>(const TableKey &, const TableKey &) = default;
};

/// A row as read.
struct TableItem
{
    TableKey key;
    std::uint64_t version = 0;
    std::string data;

    friend bool operator==(const TableItem &, const TableItem &) = default;
};

/// One write of a transaction.
struct TableWrite
{
    enum class Kind { Put, Delete, Check };

    /// The version by which `expected` says that the row must not exist.
    static constexpr std::uint64_t kAbsent = 0;

    Kind kind = Kind::Put;
    TableKey key;
    std::optional<std::uint64_t>
        expectedVersion; ///< The version the row must have, or no condition.
    std::uint64_t version = 0; ///< The row's new version.
    std::string data;
};

/// A part of a partition in order of its rows.
struct TablePage
{
    std::vector<TableItem> items;
    std::optional<std::string> nextAfter; ///< Ask again from after this row, when set.
};

/// Where a query starts and how much it returns.
struct TableQuery
{
    std::string partition;
    std::string after; ///< Only rows that sort after this one.
    std::size_t limit = 500;
};

} // namespace oleanderhall
