// How an entry host and the others know of one another.
#include "controller.h"

#include "log.h"
#include "metrics.h"

#include "../http/routetable.h"

#include <algorithm>

namespace oleanderhall {

namespace {

constexpr Millis kShortestHeartbeat{2000};
constexpr Millis kHeartbeatPerMember{20}; // keeps the table's writes below 50 a second
constexpr Millis kShortestMemberRead{2000};
constexpr Millis kMemberReadPerMember{150}; // keeps the bytes of a read below 2 KB a second
constexpr Millis kAwaitingMemberReadPerMember{30};
constexpr Millis kHostListPeriod{5000};
constexpr Millis kMemberSilence{15000};

} // namespace

void Controller::heartbeat(Instant now)
{
    // Those who drain a host wait until everyone has seen it, so that is said at once.
    const bool owesAcknowledgement = m_row.acknowledged < m_latestDrain;
    if (now < m_nextHeartbeat && !owesAcknowledgement)
        return;
    const auto members = static_cast<Millis::rep>(m_members.size());
    m_nextHeartbeat = now + std::max(kShortestHeartbeat, kHeartbeatPerMember * members);
    ++m_row.heartbeatCount;
    m_row.acknowledged = m_state.sequence();
    m_row.config = m_state.configVersion();
    m_row.leaving = m_isLeaving;
    try {
        m_table.transact({{.key = {kMemberPartition, m_settings.id.name()},
                           .version = m_row.heartbeatCount,
                           .data = encodeMember(m_row)}},
                         newOperation());
    } catch (const std::exception &) {
        m_metrics.count("heartbeats_failed_total");
    }
}

void Controller::readMembers(Instant now)
{
    if (now < m_nextMemberRead)
        return;
    const auto members = static_cast<Millis::rep>(m_members.size());
    m_nextMemberRead = now
        + (m_awaitsAcknowledgements
               ? kAwaitingMemberReadPerMember * members
               : std::max(kShortestMemberRead, kMemberReadPerMember * members));
    const Sequence seenAt = m_state.sequence();
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
        m_members.update(rows, seenAt, timeNow());
        live = m_members.live(timeNow()).size();
    }
    m_metrics.gauge("entry_hosts_live", static_cast<double>(live));
    m_routes.setEntryHostCount(static_cast<int>(std::max<std::size_t>(live, 1)));
}

void Controller::readHostList(Instant now)
{
    if (now < m_nextHostList)
        return;
    m_nextHostList = now + kHostListPeriod;
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
    for (const EntryId entry : m_members.unchangedFor(kMemberSilence, now)) {
        // A row is removed only when the platform, too, no longer knows the entry host.
        if (m_hostList.contains(entry.name()) || entry == m_settings.id)
            continue;
        try {
            m_table.transact(
                {{.kind = TableWrite::Kind::Delete, .key = {kMemberPartition, entry.name()}}},
                newOperation());
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
