#pragma once

#include <utility>

#include "freeports.h"

#include "../../src/daemon/metrics.h"
#include "../../src/http/callerserver.h"
#include "../../src/http/httpclient.h"
#include "../../src/node/callerapi.h"
#include "../../src/node/callforwarder.h"

#include "oleanderhall/core/clock.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <stdexcept>
#include <string>

namespace oleanderhall::test {

/// How the table service treats one node.
enum class TableMode { Serve, Unavailable, TooManyRequests, Reset, Silent };

inline constexpr Millis kTeamRateWindow{5000}; // its teams have no keys, so any will do

/// The parts of a fleet node that answer calls, on loopback ports of its own: `port` serves
/// callers, the next one peers, and the third one passes the node's calls on to
/// `serveTable`.
struct ForwardingNode
{
    ForwardingNode(boost::asio::io_context &io, const std::string &name, const std::string &zone,
                   RequestHandler serveTable)
        : ForwardingNode(io, name, zone, freePorts(3), std::move(serveTable))
    {}
    ForwardingNode(boost::asio::io_context &io, const std::string &name, const std::string &zone,
                   std::uint16_t port, RequestHandler serveTable)
        : m_io(io)
        , m_serveTable(std::move(serveTable))
        , peer{.id = EntryId(name),
               .zone = ZoneId(zone),
               .address = "127.0.0.1:" + std::to_string(port + 1),
               .processorCores = 1}
        , peers(peer)
        , table(io, "127.0.0.1:" + std::to_string(port + 2), metrics)
        , api(io, table, view, metrics, kTeamRateWindow)
        , forwarder(io, view, peers, monitor, metrics,
                    [this](HttpRequest &request) { return api.answer(request); })
        , callers(std::make_shared<HttpClient>(io, "127.0.0.1:" + std::to_string(port), 400))
    {
        table.setObserver(
            [this](const platform::TableCall &call) { monitor.observe(call, monotonicNow()); });
        api.setHandOff([this](int partition) { return forwarder.isBetterElsewhere(partition); });
        forwarder.setSilenceTest([this](Instant now) { return api.isTableSilent(now); });
        serve(port, [this](HttpRequest &request) { return forwarder.answer(request); });
        serve(port + 1, [this](HttpRequest &request) { return answerPeer(request); });
        serve(port + 2, [this](HttpRequest &request) { return answerTableCall(request); });
        view.lastContact = monotonicNow();
    }

    /// Makes the node see, as by its own calls, that the table doesn't serve it.
    void turnAway(TableMode mode = TableMode::Unavailable)
    {
        tableMode = mode;
        for (int count = 0; count < TableAvailability::kMaxFailures; ++count)
            monitor.availability.onFailed();
    }

    /// Returns the value of a counter, 0 if it was never counted.
    int counter(const std::string &name) const
    {
        const std::string text = metrics.text();
        const std::string line = "\noleanderhall_" + name + " ";
        const auto found = text.find(line);
        return found == std::string::npos ? 0 : std::stoi(text.substr(found + line.size()));
    }

    /// Lets the node register as a peer of `others`.
    template <typename... Nodes>
    void join(Nodes &...others)
    {
        peers.update({others.peer...}, 0);
    }

private:
    void serve(int port, RequestHandler handler)
    {
        CallerLimits limits;
        limits.connections = 2000;
        auto server = std::make_shared<CallerServer>(m_io, limits, std::move(handler), metrics);
        server->start("127.0.0.1", static_cast<std::uint16_t>(port));
        m_servers.push_back(std::move(server));
    }

    boost::asio::awaitable<Reply> answerPeer(HttpRequest &request)
    {
        lastPeerDeadlineMs = std::stoi(std::string(request["Oleanderhall-Deadline-Ms"]));
        Reply reply = co_await forwarder.answerPeer(request);
        if (losesAnswers)
            throw std::runtime_error("closes the connection without a response");
        co_return reply;
    }

    boost::asio::awaitable<Reply> answerTableCall(HttpRequest &request)
    {
        switch (tableMode) {
        case TableMode::Serve:
            break;
        case TableMode::Unavailable:
            co_return Reply{.status = 503};
        case TableMode::TooManyRequests:
            co_return Reply{.status = 429};
        case TableMode::Reset:
            throw std::runtime_error("closes the connection without a response");
        case TableMode::Silent:
            boost::asio::steady_timer never(m_io, std::chrono::hours(1));
            co_await never.async_wait(boost::asio::use_awaitable);
        }
        co_return co_await m_serveTable(request);
    }

    boost::asio::io_context &m_io;
    RequestHandler m_serveTable;
    std::vector<std::shared_ptr<CallerServer>> m_servers;

public:
    Peer peer;
    Metrics metrics;
    FleetView view;
    PeerList peers;
    TableMonitor monitor;
    platform::TableClient table;
    CallerApi api;
    CallForwarder forwarder;
    std::shared_ptr<HttpClient> callers; ///< A caller's connections to the node.
    TableMode tableMode = TableMode::Serve;
    bool losesAnswers = false; ///< Its answers to peers are lost after it has handled the call.
    int lastPeerDeadlineMs = 0; ///< Of the latest call from a peer.
};

} // namespace oleanderhall::test
