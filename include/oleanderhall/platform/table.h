#pragma once

#include "oleanderhall/platform/tabletypes.h"

#include <concepts>

namespace oleanderhall {

/// A Table is a transactional table service. transact() applies all writes or none; it throws
/// ConditionFailed or PlatformUnavailable (no write was applied), or OutcomeUnknown (the writes may
/// have been applied or may be applied later). A call with the same `token` as an earlier one is a
/// repetition of the same transaction. read() and query() are strongly consistent and throw
/// PlatformUnavailable.
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

/// An ObjectStore stores immutable objects under keys that are never reused. put() and fetch()
/// throw PlatformUnavailable.
template <typename T>
concept ObjectStore = requires(T store, const std::string &key, const std::string &data)
{
    store.put(key, data);
    {
        store.fetch(key)
        } -> std::same_as<std::string>;
};

} // namespace oleanderhall
