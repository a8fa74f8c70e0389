#pragma once

#include "oleanderhall/core/time.h"
#include "oleanderhall/platform/tabletypes.h"

#include <string>

namespace oleanderhall {

/// A DynamoTable accesses the platform's table through the published DynamoDB JSON protocol
/// (TransactWriteItems, GetItem, Query). Each write uses a connection of its own, because a pooled
/// client may send a write twice. Reads reuse one connection per thread and drop it after any
/// failure, so that an unresponsive connection fails only one call. It may be used from any thread.
class DynamoTable
{
public:
    /// `address` is the URL of the table service. A call that takes longer than `timeout` fails.
    DynamoTable(std::string address, Millis timeout);

    void transact(const std::vector<TableWrite> &writes, const std::string &token);
    std::optional<TableItem> read(const TableKey &key);
    TablePage query(const TableQuery &query);

private:
    std::string m_address;
    Millis m_timeout;
};

} // namespace oleanderhall
