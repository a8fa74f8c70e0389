#pragma once

#include "fleetview.h"
#include "tablemonitor.h"

#include "../http/callerserver.h"
#include "../http/httpclient.h"

#include "oleanderhall/membership/peerlist.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace oleanderhall {

class Metrics;

/// Internal: answers callers' calls, by passing them on to another fleet node when this one can't
/// use the table, and jobs to the node that writes for their partition while the table is slow. A
/// call that was passed on is never passed on again. Calls that can't be passed on are answered by
/// this node. A job's call whose answer is lost is answered with 504, as the job may be stored.
class CallForwarder
{
public:
    /// `answerLocally` answers a call with this node's own access to the table.
    CallForwarder(boost::asio::io_context &io, const FleetView &view, PeerList &peers,
                  TableMonitor &monitor, Metrics &metrics, RequestHandler answerLocally);

    /// Answers a call of a caller.
    boost::asio::awaitable<Reply> answer(HttpRequest &request);
    /// Answers a call that another node has passed on. Refuses it at once if this node can't use
    /// the table or is busy, so that the other node can try a third one.
    boost::asio::awaitable<Reply> answerPeer(HttpRequest &request);
    /// Returns whether another node may be able to store jobs of `partition` that the table has
    /// rejected from this one: the table rejects this node, or is slow and another node writes.
    bool isBetterElsewhere(int partition);
    /// Sets what tells whether the table has stopped answering this node's calls.
    void setSilenceTest(std::function<bool(Instant)> isTableSilent)
    {
        m_isTableSilent = std::move(isTableSilent);
    }

private:
    enum class Reason { NoTable, StaleConfiguration, SlowTable };
    struct Link
    {
        std::shared_ptr<HttpClient> client;
        int callsInFlight = 0;
        Instant lastUsed;
    };
    struct Attempt
    {
        PeerResult result = PeerResult::Lost;
        HttpResult response;
    };

    static const char *textOf(Reason reason);
    bool hasTable(Instant now) const;
    /// Returns why the call should be passed on, or nothing if this node answers it.
    std::optional<Reason> reasonToForward(const HttpRequest &request, Instant now);
    /// Returns whether the table counts as slow, and logs changes.
    bool isTableSlow(Instant now);
    /// Answers a job's call locally and, if this node gave it up, by another node.
    boost::asio::awaitable<Reply> answerJob(HttpRequest &request, Instant received);
    /// Returns the node that writes for `partition` if it is another one that takes calls.
    std::optional<Peer> otherWriter(int partition, Instant now) const;
    /// Returns nothing if the call certainly has had no effect at any peer.
    boost::asio::awaitable<std::optional<Reply>> forward(HttpRequest &request, Reason reason,
                                                         Instant received);
    std::optional<Peer> choosePeer(const HttpRequest &request, Reason reason,
                                   const std::vector<Peer> &tried, Instant now);
    boost::asio::awaitable<Attempt> send(const HttpRequest &request, const Peer &peer,
                                         Millis remaining);
    std::shared_ptr<HttpClient> connectTo(const std::string &address, Instant now);
    void closeIdleLinks(Instant now);
    Reply refuse(int status, const char *reason);

    boost::asio::io_context &m_io;
    const FleetView &m_view;
    PeerList &m_peers;
    TableMonitor &m_monitor;
    Metrics &m_metrics;
    RequestHandler m_answerLocally;
    std::function<bool(Instant)> m_isTableSilent = [](Instant) { return false; };
    std::map<std::string, Link> m_links; ///< By address.
    int m_callerCalls = 0; ///< Calls of callers in flight.
    int m_peerCalls = 0; ///< Calls from other nodes in flight.
    int m_forwardedCalls = 0; ///< Calls to other nodes in flight.
    std::size_t m_forwardedBytes = 0; ///< Of their bodies.
    std::size_t m_keptBytes = 0; ///< Of copies of bodies, for calls that may be forwarded later.
    bool m_wasTableSlow = false;
};

} // namespace oleanderhall
