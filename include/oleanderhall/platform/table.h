#pragma once

#include "oleanderhall/platform/tabletypes.h"

#include <concepts>

namespace oleanderhall {

/// A Table is a transactional table service. transact() writes all or nothing; it throws
/// ConditionFailed, PlatformUnavailable (no effect) or OutcomeUnknown (effect possible, also
/// later). read() and query() are consistent and throw PlatformUnavailable.
template <typename T>
concept Table = requires(T table, const std::vector<TableWrite> &writes, const std::string &token,
                         const TableKey &key, const TableQuery &query)
{
    table.transact(writes, token);
    {
        table.read(key)
        } -> std::same_as<std::optional<TableItem>>;
    {
        table.query(query)
        } -> std::same_as<TablePage>;
};

/// An ObjectStore keeps immutable objects under keys that are never used twice.
template <typename T>
concept ObjectStore = requires(T store, const std::string &key, const std::string &data)
{
    store.put(key, data);
    {
        store.fetch(key)
        } -> std::same_as<std::string>;
};

} // namespace oleanderhall
