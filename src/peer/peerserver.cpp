#include "peerserver.h"

#include "oleanderhall/register/registerparser.h"

#include "peer.grpc.pb.h"

#include <grpcpp/grpcpp.h>
#include <grpcpp/resource_quota.h>

#include <algorithm>
#include <stdexcept>

namespace oleanderhall {

namespace {

constexpr std::uint32_t kMaxEntriesPerReply = 1000;
constexpr int kHostsPerPage = 500;
constexpr int kMaxRequestBytes = 4096;
constexpr int kMaxThreads = 6;

} // namespace

class PeerServer::Service : public peer::Peer::Service
{
public:
    explicit Service(PeerSource source)
        : m_source(std::move(source))
    {}

    grpc::Status Pull(grpc::ServerContext *, const peer::PullRequest *request,
                      peer::PullReply *reply) override
    {
        // The age is read before the entries, so that it never understates how old they are.
        reply->set_view_age_ms(static_cast<std::uint64_t>(m_source.viewAge().count()));
        std::vector<std::string> entries;
        const std::size_t limit = std::min(request->limit(), kMaxEntriesPerReply);
        if (!m_source.entriesAfter({request->sequence()}, limit, entries))
            reply->set_needs_snapshot(true);
        for (std::string &entry : entries)
            reply->add_entries(std::move(entry));
        m_source.withState(
            [reply](const FleetState &state) { reply->set_sequence(state.sequence().value); });
        return grpc::Status::OK;
    }

    grpc::Status Snapshot(grpc::ServerContext *, const peer::SnapshotRequest *request,
                          peer::SnapshotReply *reply) override
    {
        reply->set_view_age_ms(static_cast<std::uint64_t>(m_source.viewAge().count()));
        m_source.withState([&](const FleetState &state) { fillSnapshot(state, *request, *reply); });
        if (reply->sequence() == 0)
            return {grpc::StatusCode::UNAVAILABLE, "no state yet"};
        return grpc::Status::OK;
    }

private:
    static void fillSnapshot(const FleetState &state, const peer::SnapshotRequest &request,
                             peer::SnapshotReply &reply)
    {
        reply.set_sequence(state.sequence().value);
        reply.set_config_version(state.configVersion().value);
        auto host = state.hosts().begin();
        if (request.after_host().empty()) {
            reply.set_config(toJson(state.config()).serialize());
            for (const auto &[pool, wave] : state.waves())
                reply.add_waves(toJson(wave).serialize());
        } else {
            host = std::find_if(state.hosts().begin(), state.hosts().end(), [&](const auto &item) {
                return item.first.name() > request.after_host();
            });
        }
        for (int count = 0; host != state.hosts().end() && count < kHostsPerPage; ++count, ++host) {
            reply.add_hosts(toJson(host->second).serialize());
            reply.add_host_sequences(host->second.changedAt.value);
            reply.set_next_after_host(host->first.name());
        }
        if (host == state.hosts().end())
            reply.clear_next_after_host();
    }

    PeerSource m_source;
};

struct PeerServer::GrpcServer
{
    std::unique_ptr<grpc::Server> server;
};

PeerServer::PeerServer(const std::string &address, PeerSource source)
    : m_service(std::make_unique<Service>(std::move(source)))
    , m_grpcServer(new GrpcServer)
{
    grpc::ResourceQuota quota("peers");
    quota.SetMaxThreads(kMaxThreads);
    grpc::ServerBuilder builder;
    builder.SetResourceQuota(quota);
    builder.SetMaxReceiveMessageSize(kMaxRequestBytes);
    builder.SetSyncServerOption(grpc::ServerBuilder::SyncServerOption::NUM_CQS, 1);
    builder.SetSyncServerOption(grpc::ServerBuilder::SyncServerOption::MIN_POLLERS, 1);
    builder.SetSyncServerOption(grpc::ServerBuilder::SyncServerOption::MAX_POLLERS, 2);
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.AddListeningPort(address, grpc::InsecureServerCredentials());
    builder.RegisterService(m_service.get());
    m_grpcServer->server = builder.BuildAndStart();
    if (!m_grpcServer->server)
        throw std::runtime_error("can't listen for peers on " + address);
}

PeerServer::~PeerServer()
{
    m_grpcServer->server->Shutdown(std::chrono::system_clock::now() + Millis(500));
}

} // namespace oleanderhall
