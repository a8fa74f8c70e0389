// Membership: heartbeats, the entry hosts that are live, and the addresses of peers.
#include "controller.h"

#include "log.h"
#include "metrics.h"

#include "../http/routetable.h"

#include <algorithm>

namespace oleanderhall {

namespace {

constexpr Millis kMinHeartbeatPeriod{2000};
constexpr Millis kHeartbeatPeriodPerMember{20}; // At most 50 writes per second in total
constexpr Millis kMinMemberReadPeriod{2000};
constexpr Millis kMemberReadPeriodPerMember{150}; // Keeps reads below 2 KB per second
// Shorter, because a drain waits for the acknowledgements of all entry hosts.
constexpr Millis kDrainingReadPeriodPerMember{30};
constexpr Millis kHostListPeriod{5000};
constexpr Millis kMinSilenceBeforeRemoval{15000};

} // namespace

void Controller::heartbeat(Instant now)
{
    // A drain waits until every entry host has acknowledged it, so the heartbeat with the
    // acknowledgement is sent at once.
    const bool hasUnacknowledgedDrain = m_memberRow.acknowledged < m_latestDrainSequence;
    if (now < m_nextHeartbeat && !hasUnacknowledgedDrain)
        return;
    const auto memberCount = static_cast<Millis::rep>(m_members.size());
    m_nextHeartbeat = now + std::max(kMinHeartbeatPeriod, kHeartbeatPeriodPerMember * memberCount);
    ++m_memberRow.heartbeatCount;
    m_memberRow.acknowledged = m_state.sequence();
    m_memberRow.config = m_state.configVersion();
    m_memberRow.leaving = m_isLeaving;
    try {
        m_table.transact({{.key = {kMemberPartition, m_settings.id.name()},
                           .version = m_memberRow.heartbeatCount,
                           .data = encodeMember(m_memberRow)}},
                         newOperationId());
    } catch (const std::exception &) {
        m_metrics.count("heartbeats_failed_total");
    }
}

void Controller::readMembers(Instant now)
{
    if (now < m_nextMemberRead)
        return;
    const auto memberCount = static_cast<Millis::rep>(m_members.size());
    m_nextMemberRead = now
        + (m_awaitsAcknowledgements
               ? kDrainingReadPeriodPerMember * memberCount
               : std::max(kMinMemberReadPeriod, kMemberReadPeriodPerMember * memberCount));
    const Sequence sequenceBeforeRead = m_state.sequence();
    std::vector<MemberRow> rows;
    try {
        std::string after;
        for (;;) {
            const TablePage page = m_table.query({.partition = kMemberPartition, .after = after});
            for (const TableItem &item : page.items)
                rows.push_back(parseMember(item.data));
            if (!page.nextAfter)
                break;
            after = *page.nextAfter;
        }
    } catch (const std::exception &error) {
        m_metrics.count("member_reads_failed_total");
        return;
    }
    std::size_t live = 0;
    {
        const std::unique_lock lock(m_stateMutex);
        m_members.update(rows, sequenceBeforeRead, timeNow());
        live = m_members.live(timeNow()).size();
    }
    m_metrics.gauge("entry_hosts_live", static_cast<double>(live));
    m_routes.setEntryHostCount(static_cast<int>(std::max<std::size_t>(live, 1)));
}

void Controller::readHostList(Instant now)
{
    if (now < m_nextHostListRead)
        return;
    m_nextHostListRead = now + kHostListPeriod;
    try {
        m_hostList = fetchHostList(m_settings.hostListUrl, m_settings.platformTimeout);
        m_hasHostList = true;
        m_watcher.setHostList(m_hostList);
    } catch (const std::exception &) {
        m_hasHostList = false;
        m_metrics.count("host_list_reads_failed_total");
    }
}

void Controller::removeDeadMembers(Instant now)
{
    if (!m_hasHostList)
        return;
    for (const EntryId entry : m_members.unchangedFor(kMinSilenceBeforeRemoval, now)) {
        // A silent entry host may still be running: its row is removed only if the platform's host
        // list doesn't contain it either.
        if (m_hostList.contains(entry.name()) || entry == m_settings.id)
            continue;
        try {
            m_table.transact(
                {{.kind = TableWrite::Kind::Delete, .key = {kMemberPartition, entry.name()}}},
                newOperationId());
            logInfo("entry_host_removed", {{"removed", entry.name()}});
        } catch (const std::exception &) {
            m_metrics.count("member_removals_failed_total");
        }
    }
}

std::vector<std::string> Controller::peerAddresses() const
{
    std::vector<std::string> addresses;
    for (const MemberRow &member : m_members.all()) {
        if (member.id != m_settings.id)
            addresses.push_back(member.peerAddress);
    }
    for (const SocketAddress &seed : m_settings.seeds) {
        if (std::find(addresses.begin(), addresses.end(), seed.text()) == addresses.end())
            addresses.push_back(seed.text());
    }
    return addresses;
}

} // namespace oleanderhall
