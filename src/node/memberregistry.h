#pragma once

#include "../../platform/tableclient.h"

#include "oleanderhall/core/time.h"
#include "oleanderhall/membership/peerlist.h"

#include <boost/asio/steady_timer.hpp>

#include <string>
#include <vector>

namespace oleanderhall {

/// Internal: registers this node in the table of members and reads the other members into a
/// PeerList: soon after the start and then twice a minute. A failed attempt changes nothing and is
/// repeated.
class MemberRegistry
{
public:
    MemberRegistry(boost::asio::io_context &io, platform::TableClient &table, Peer self,
                   PeerList &peers, Metrics &metrics);

    /// Begins after a random delay, so that nodes which start together don't write together.
    void start();
    /// Deletes this node's row, so that other nodes forward no calls to it any more.
    void leave();

private:
    void scheduleNext(Millis delay);
    void readPage(const std::string &from);
    void applyRows(std::int64_t tableClockMs);
    void registerSelf(std::int64_t tableClockMs);
    void onFailure();

    boost::asio::steady_timer m_timer;
    platform::TableClient &m_table;
    Peer m_self;
    PeerList &m_peers;
    Metrics &m_metrics;
    std::vector<platform::TableRow> m_rows; ///< Of the read in progress.
    bool m_isRegistered = false; ///< The node's row has been written.
    Millis m_interval;
    bool m_isLeaving = false;
};

} // namespace oleanderhall
