#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace oleanderhall {

/// The key of a row of the platform's table.
struct TableKey
{
    std::string partition;
    std::string row; ///< Sorts the rows within the partition.

    friend auto operator<=>(const TableKey &, const TableKey &) = default;
};

/// A row as read from the table.
struct TableItem
{
    TableKey key;
    std::uint64_t version = 0;
    std::string data;

    friend bool operator==(const TableItem &, const TableItem &) = default;
};

/// One write of a transaction. A Check writes nothing; it only adds its condition.
struct TableWrite
{
    enum class Kind { Put, Delete, Check };

    /// The value of `expectedVersion` that requires the row not to exist.
    static constexpr std::uint64_t kAbsent = 0;

    Kind kind = Kind::Put;
    TableKey key;
    std::optional<std::uint64_t>
        expectedVersion; ///< The version that the row must have; no condition if unset.
    std::uint64_t version = 0; ///< The version of the row after a Put.
    std::string data;
};

/// One page of the rows of a partition, in ascending order.
struct TablePage
{
    std::vector<TableItem> items;
    std::optional<std::string> nextAfter; ///< If set, the next page starts after this row.
};

/// Asks for one page of the rows of a partition.
struct TableQuery
{
    std::string partition;
    std::string after; ///< Only rows that sort after this one are returned.
    std::size_t limit = 500; ///< The highest number of rows in the page.
};

} // namespace oleanderhall
