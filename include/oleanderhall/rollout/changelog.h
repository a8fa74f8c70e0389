#pragma once

#include "oleanderhall/core/errors.h"
#include "oleanderhall/fleet/fleetstate.h"
#include "oleanderhall/platform/table.h"
#include "oleanderhall/register/registerparser.h"
#include "oleanderhall/rollout/logcodec.h"
#include "oleanderhall/rollout/loghead.h"

#include <optional>
#include <vector>

namespace oleanderhall {

/// The outcome of an append to the change log.
enum class AppendOutcome {
    Committed, ///< The entry is in the log.
    Conflict, ///< Another entry has the same sequence; this one will never be in the log.
    Unknown, ///< The entry may be in the log now or later. Read the head and decide again.
};

/// The log of the fleet's changes in the platform's table. Each entry is appended by one
/// transaction on the condition that the head is still the one on which the entry was decided. A
/// decision can therefore only change the state on which it was made, whoever makes it and however
/// late it arrives. The ChangeLog itself has no state beyond its references to the table and the
/// store.
template <Table TableType, ObjectStore StoreType>
class ChangeLog
{
public:
    ChangeLog(TableType &table, StoreType &store)
        : m_table(table)
        , m_store(store)
    {}

    /// Reads the head. Returns the head of an empty log if the table has none. Throws
    /// PlatformUnavailable, and InvalidDocument if the stored head is invalid.
    LogHead readHead()
    {
        const auto item = m_table.read(headKey());
        return item ? parseHead(item->data) : LogHead{};
    }

    /// Appends `entry`, which must directly follow `head`. `configAfter` is the full configuration
    /// after the entry; it is stored as the new base configuration if one is due. Updates `head` if
    /// the outcome is Committed. Throws InvalidDocument and writes nothing if parseLogEntry()
    /// rejects the entry, because no entry host could read past it.
    AppendOutcome append(const LogEntry &entry, const Register &configAfter, LogHead &head)
    {
        LogHead next = nextHead(head, entry);
        std::string data = toJson(entry).serialize();
        parseLogEntry(data);
        const bool isLarge = data.size() > kMaxInlineBytes;
        try {
            if (const auto base = newBaseKey(entry, head, isLarge)) {
                m_store.put(*base, toJson(configAfter).serialize());
                next.baseKey = *base;
                next.baseVersion = next.configVersion;
            }
            if (isLarge) {
                m_store.put(entryKey(entry), data);
                data = encodeReference(entryKey(entry));
            }
            m_table.transact(writesFor(entry, data, head, next), entry.operation);
        } catch (const ConditionFailed &) {
            return AppendOutcome::Conflict;
        } catch (const PlatformUnavailable &) {
            return AppendOutcome::Unknown;
        } catch (const OutcomeUnknown &) {
            const AppendOutcome outcome = readBack(entry);
            if (outcome != AppendOutcome::Committed)
                return outcome;
        }
        head = next;
        return AppendOutcome::Committed;
    }

    /// Returns at most `limit` of the entries that follow `sequence`, in order. Throws
    /// PlatformUnavailable, and InvalidDocument if a stored entry is invalid.
    std::vector<LogEntry> readAfter(Sequence sequence, std::size_t limit)
    {
        std::vector<LogEntry> entries;
        const TablePage page = m_table.query({kLogPartition, rowOf(sequence), limit});
        for (const TableItem &item : page.items)
            entries.push_back(parseLogEntry(resolve(item.data)));
        return entries;
    }

    /// Loads the state at the head. Host records that are written during the load may be newer than
    /// the head, which FleetState::apply() allows. Throws PlatformUnavailable, and InvalidDocument
    /// if stored data is invalid.
    FleetState load()
    {
        const LogHead head = readHead();
        Register config = loadConfig(head);
        std::vector<HostRecord> hosts;
        forEachItem("host", "", [&hosts](const TableItem &item) {
            hosts.push_back(parseHostRow(item.data, {item.version}));
        });
        std::vector<WaveRecord> waves;
        forEachItem("wave", "",
                    [&waves](const TableItem &item) { waves.push_back(parseWaveRow(item.data)); });
        FleetState state;
        state.restore(head.sequence, head.configVersion, std::move(config), std::move(hosts),
                      waves);
        return state;
    }

private:
    /// Reads the row of `entry` to learn the outcome of a transaction whose response was lost.
    AppendOutcome readBack(const LogEntry &entry)
    {
        try {
            const auto item = m_table.read({kLogPartition, rowOf(entry.sequence)});
            if (!item)
                return AppendOutcome::Unknown;
            const bool isThisEntry = parseLogEntry(resolve(item->data)).operation
                == entry.operation;
            return isThisEntry ? AppendOutcome::Committed : AppendOutcome::Conflict;
        } catch (const PlatformUnavailable &) {
            return AppendOutcome::Unknown;
        }
    }

    /// Returns `data`, or the stored object if `data` is a reference to one.
    std::string resolve(const std::string &data)
    {
        const auto reference = referenceIn(data);
        return reference ? m_store.fetch(*reference) : data;
    }

    Register loadConfig(const LogHead &head)
    {
        Register config;
        if (!head.baseKey.empty())
            applyPatch(config, parsePatchText(m_store.fetch(head.baseKey)));
        forEachItem("config", rowOf(Sequence{head.baseVersion.value}), [&](const TableItem &item) {
            if (item.key.row <= rowOf(Sequence{head.configVersion.value}))
                applyPatch(config, parsePatchText(item.data));
        });
        return config;
    }

    template <typename Visit>
    void forEachItem(const std::string &partition, std::string after, const Visit &visit)
    {
        for (;;) {
            const TablePage page = m_table.query({.partition = partition, .after = after});
            for (const TableItem &item : page.items)
                visit(item);
            if (!page.nextAfter)
                return;
            after = *page.nextAfter;
        }
    }

    TableType &m_table;
    StoreType &m_store;
};

} // namespace oleanderhall
