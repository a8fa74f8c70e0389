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

/// How an attempt to append to the log ended.
enum class AppendOutcome {
    Committed, ///< The entry is in the log.
    Conflict, ///< Another entry took its place; this one will never be in the log.
    Unknown, ///< It may be in the log now or later. Read the head, then decide anew.
};

/// A ChangeLog keeps the fleet's changes in the platform's table. An entry is appended by one
/// transaction that holds only if the head still is the one that the entry was decided on; so every
/// decision was taken on the very state that it changes, whoever took it and however late. It is
/// the platform's table that keeps the log; nothing here does.
template <Table TableType, ObjectStore StoreType>
class ChangeLog
{
public:
    ChangeLog(TableType &table, StoreType &store)
        : m_table(table)
        , m_store(store)
    {}

    /// Reads the head. A table without one holds an empty log. Throws PlatformUnavailable.
    LogHead readHead()
    {
        const auto item = m_table.read(headKey());
        return item ? parseHead(item->data) : LogHead{};
    }

    /// Appends `entry`, which must follow `head`. Throws InvalidDocument and writes nothing when
    /// the entry could not be read back, since every entry host would stop at it. `configAfter` is
    /// the whole configuration after the entry; it is written out when the entry accepts one that
    /// needs a new base. After Committed, `head` is the new head.
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
                next.baseVersion = next.config;
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

    /// Returns the entries that follow `sequence`, in order, at most `limit`. Throws
    /// PlatformUnavailable.
    std::vector<LogEntry> readAfter(Sequence sequence, std::size_t limit)
    {
        std::vector<LogEntry> entries;
        const TablePage page = m_table.query({kLogPartition, rowOf(sequence), limit});
        for (const TableItem &item : page.items)
            entries.push_back(parseLogEntry(resolve(item.data)));
        return entries;
    }

    /// Loads the state as of the head. Records may be newer than the head; FleetState::apply()
    /// allows for that. Throws PlatformUnavailable.
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
        state.restore(head.sequence, head.config, std::move(config), std::move(hosts), waves);
        return state;
    }

private:
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
            if (item.key.row <= rowOf(Sequence{head.config.value}))
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
