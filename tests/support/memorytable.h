#pragma once

#include "oleanderhall/core/errors.h"
#include "oleanderhall/platform/tabletypes.h"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace oleanderhall::test {

/// The fault that MemoryTable::transact() simulates.
enum class WriteFault {
    None,
    Unavailable, ///< Reports that the table is unavailable and writes nothing.
    ResponseLost, ///< Applies the writes, but reports that the outcome is unknown.
    DelayedEffect, ///< Reports that the outcome is unknown; applyDelayedWrites() writes later.
    UnknownWithoutEffect ///< Reports that the outcome is unknown and never writes.
};

/// A MemoryTable is an in-memory transactional table with fault injection.
class MemoryTable
{
public:
    std::deque<WriteFault> faults; ///< Each transact() takes the front one; empty means None.
    bool readsFail = false; ///< Makes read() and query() throw PlatformUnavailable.

    void transact(const std::vector<TableWrite> &writes, const std::string &)
    {
        WriteFault fault = WriteFault::None;
        if (!faults.empty()) {
            fault = faults.front();
            faults.pop_front();
        }
        switch (fault) {
        case WriteFault::None:
            return write(writes);
        case WriteFault::Unavailable:
            throw PlatformUnavailable("down");
        case WriteFault::ResponseLost:
            tryWrite(writes);
            throw OutcomeUnknown("lost");
        case WriteFault::DelayedEffect:
            m_delayedWrites.push_back(writes);
            throw OutcomeUnknown("late");
        case WriteFault::UnknownWithoutEffect:
            throw OutcomeUnknown("the writes were dropped");
        }
    }

    std::optional<TableItem> read(const TableKey &key)
    {
        if (readsFail)
            throw PlatformUnavailable("down");
        const auto found = m_items.find(key);
        return found == m_items.end() ? std::nullopt : std::optional(found->second);
    }

    TablePage query(const TableQuery &query)
    {
        if (readsFail)
            throw PlatformUnavailable("down");
        TablePage page;
        auto item = m_items.upper_bound({query.partition, query.after});
        for (; item != m_items.end() && item->first.partition == query.partition; ++item) {
            if (page.items.size() == query.limit) {
                page.nextAfter = page.items.back().key.row;
                break;
            }
            page.items.push_back(item->second);
        }
        return page;
    }

    /// Applies the writes that DelayedEffect held back. Those whose condition fails are dropped.
    void applyDelayedWrites()
    {
        for (const auto &writes : m_delayedWrites)
            tryWrite(writes);
        m_delayedWrites.clear();
    }

private:
    void tryWrite(const std::vector<TableWrite> &writes)
    {
        try {
            write(writes);
        } catch (const ConditionFailed &) {
            // The outcome is reported as unknown whether or not the conditions hold.
        }
    }

    void write(const std::vector<TableWrite> &writes)
    {
        std::vector<std::size_t> failed;
        for (std::size_t index = 0; index < writes.size(); ++index) {
            const auto found = m_items.find(writes[index].key);
            const std::uint64_t version = found == m_items.end() ? 0 : found->second.version;
            if (writes[index].expectedVersion && *writes[index].expectedVersion != version)
                failed.push_back(index);
        }
        if (!failed.empty())
            throw ConditionFailed("condition", failed);
        for (const TableWrite &write : writes) {
            if (write.kind == TableWrite::Kind::Put)
                m_items[write.key] = {write.key, write.version, write.data};
            else if (write.kind == TableWrite::Kind::Delete)
                m_items.erase(write.key);
        }
    }

    std::map<TableKey, TableItem> m_items;
    std::vector<std::vector<TableWrite>> m_delayedWrites;
};

/// A MemoryStore is an in-memory object store.
class MemoryStore
{
public:
    void put(const std::string &key, const std::string &data) { m_objects[key] = data; }
    std::string fetch(const std::string &key)
    {
        const auto found = m_objects.find(key);
        if (found == m_objects.end())
            throw PlatformUnavailable("no object " + key);
        return found->second;
    }

private:
    std::map<std::string, std::string> m_objects;
};

} // namespace oleanderhall::test
