#pragma once

#include "oleanderhall/core/time.h"
#include "oleanderhall/platform/tabletypes.h"

#include <string>

namespace oleanderhall {

/// A DynamoTable reaches the platform's table by the published DynamoDB JSON protocol
/// (TransactWriteItems, GetItem, Query). Each call has a connection of its own, because a pooled
/// client may send a write twice and a silent connection must cost one call only. It may be used by
/// any thread.
class DynamoTable
{
public:
    /// `address` is the service's URL; a call that takes longer than `timeout` is given up on.
    DynamoTable(std::string address, Millis timeout);

    void transact(const std::vector<TableWrite> &writes, const std::string &token);
    std::optional<TableItem> read(const TableKey &key);
    TablePage query(const TableQuery &query);

private:
    std::string m_address;
    Millis m_timeout;
};

} // namespace oleanderhall
