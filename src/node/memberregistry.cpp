#include "memberregistry.h"

#include "storednames.h"

#include "../daemon/log.h"
#include "../daemon/metrics.h"
#include "../daemon/settings.h"

#include <algorithm>
#include <random>

namespace oleanderhall {

namespace {

// The interval doubles up to the longest, so that nodes that start together soon know each other.
constexpr Millis kFirstInterval{4000};
// Reading 147 members takes 30 KB, so a node uses 1 KB a second for them.
constexpr Millis kLongestInterval{30000};
constexpr Millis kRetryDelay{3000};
constexpr int kMaxJitterMs = 1000; // a partition executes 147 registrations in half a second
constexpr Millis kCallTimeout{1500};
constexpr std::size_t kMaxDeletes = 20; // a transaction may have 100 entries

Millis randomDelay()
{
    std::random_device device;
    return Millis(static_cast<int>(device() % kMaxJitterMs));
}

/// Throws an exception derived from std::exception if the row is invalid.
Peer decodePeer(const platform::TableRow &row)
{
    Peer peer = parsePeer(row.key, row.value);
    FindingList findings;
    const SocketAddress address = parseSocketAddress(peer.address, "peer", findings);
    if (!findings.empty() || address.port == 0)
        throw std::invalid_argument("invalid address " + peer.address);
    return peer;
}

} // namespace

MemberRegistry::MemberRegistry(boost::asio::io_context &io, platform::TableClient &table, Peer self,
                               PeerList &peers, Metrics &metrics)
    : m_timer(io)
    , m_table(table)
    , m_self(std::move(self))
    , m_peers(peers)
    , m_metrics(metrics)
    , m_interval(kFirstInterval)
{}

void MemberRegistry::start()
{
    scheduleNext(randomDelay());
}

void MemberRegistry::leave()
{
    m_isLeaving = true;
    m_timer.cancel();
    platform::Transaction transaction{.partition = kMemberPartition};
    transaction.deletes.push_back({kMemberTable, m_self.id.name()});
    m_table.transact(transaction, kCallTimeout, [](const platform::TransactionResult &) {});
}

void MemberRegistry::scheduleNext(Millis delay)
{
    if (m_isLeaving)
        return;
    m_timer.expires_after(delay);
    m_timer.async_wait([this](const boost::system::error_code &error) {
        if (error || m_isLeaving)
            return;
        m_rows.clear();
        readPage({});
    });
}

void MemberRegistry::onFailure()
{
    m_metrics.count("member_registrations_failed_total");
    scheduleNext(kRetryDelay + randomDelay());
}

void MemberRegistry::readPage(const std::string &from)
{
    m_table.read(kMemberTable, kMemberPartition, from, {}, kCallTimeout,
                 [this](platform::ReadResult result) {
                     if (m_isLeaving)
                         return;
                     if (!result.isSuccess) {
                         onFailure();
                         return;
                     }
                     std::move(result.rows.begin(), result.rows.end(), std::back_inserter(m_rows));
                     if (result.hasMore && !result.rows.empty()) {
                         // The next key in byte order among keys without control characters.
                         readPage(m_rows.back().key + " ");
                         return;
                     }
                     applyRows(result.clockMs);
                     registerSelf(result.clockMs);
                 });
}

void MemberRegistry::applyRows(std::int64_t tableClockMs)
{
    std::vector<Peer> peers;
    for (const platform::TableRow &row : m_rows) {
        try {
            peers.push_back(decodePeer(row));
        } catch (const std::exception &error) {
            logWarning("member_unreadable", {{"key", row.key}, {"reason", error.what()}});
        }
    }
    m_rows.clear();
    const std::size_t before = m_peers.size();
    m_peers.update(peers, tableClockMs);
    m_metrics.gauge("peers", static_cast<double>(m_peers.size()));
    if (m_peers.size() != before)
        logInfo("peers_changed", {{"count", std::to_string(m_peers.size())}});
}

void MemberRegistry::registerSelf(std::int64_t tableClockMs)
{
    m_self.writtenMs = tableClockMs;
    platform::Transaction transaction{.partition = kMemberPartition};
    transaction.writes.push_back({kMemberTable, m_self.id.name(), encodePeer(m_self)});
    for (const EntryId gone : m_peers.expired()) {
        if (transaction.deletes.size() < kMaxDeletes)
            transaction.deletes.push_back({kMemberTable, gone.name()});
    }
    m_table.transact(transaction, kCallTimeout, [this](const platform::TransactionResult &result) {
        if (m_isLeaving)
            return;
        if (result.outcome != platform::TransactionResult::Outcome::Done && !m_isRegistered) {
            onFailure();
            return;
        }
        // A row of some minutes ago is as good, and a slow table has more urgent writes.
        m_isRegistered = true;
        scheduleNext(m_interval + randomDelay());
        m_interval = std::min(2 * m_interval, kLongestInterval);
    });
}

} // namespace oleanderhall
