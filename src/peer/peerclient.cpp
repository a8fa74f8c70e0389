#include "peerclient.h"

#include "oleanderhall/core/errors.h"
#include "oleanderhall/rollout/logcodec.h"

#include "peer.grpc.pb.h"

#include <grpcpp/grpcpp.h>

namespace oleanderhall {

namespace {

constexpr std::uint32_t kMaxEntriesPerPull = 200;

std::unique_ptr<peer::Peer::Stub> stubFor(const std::string &address)
{
    grpc::ChannelArguments arguments;
    // Channels don't share connections, so that an unresponsive connection fails only this call.
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    return peer::Peer::NewStub(
        grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), arguments));
}

void setDeadline(grpc::ClientContext &context, Millis timeout)
{
    context.set_deadline(std::chrono::system_clock::now() + timeout);
}

void throwUnlessOk(const grpc::Status &status)
{
    if (!status.ok())
        throw PlatformUnavailable("peer: " + status.error_message());
}

} // namespace

PeerClient::PeerClient(std::string address, Millis timeout)
    : m_address(std::move(address))
    , m_timeout(timeout)
{}

PullResult PeerClient::pull(Sequence after)
{
    const auto stub = stubFor(m_address);
    grpc::ClientContext context;
    setDeadline(context, m_timeout);
    peer::PullRequest request;
    request.set_sequence(after.value);
    request.set_limit(kMaxEntriesPerPull);
    peer::PullReply reply;
    throwUnlessOk(stub->Pull(&context, request, &reply));
    PullResult result;
    result.sequence = {reply.sequence()};
    result.viewAge = Millis(reply.view_age_ms());
    result.needsSnapshot = reply.needs_snapshot();
    try {
        for (const std::string &entry : reply.entries())
            result.entries.push_back(parseLogEntry(entry));
    } catch (const InvalidDocument &error) {
        throw PlatformUnavailable(std::string("peer: ") + error.what());
    }
    return result;
}

PeerSnapshot PeerClient::snapshot()
{
    const auto stub = stubFor(m_address);
    peer::SnapshotRequest request;
    peer::SnapshotReply reply;
    PeerSnapshot result;
    Sequence sequence;
    ConfigVersion version;
    Register config;
    std::vector<WaveRecord> waves;
    std::vector<HostRecord> hosts;
    bool isFirst = true;
    try {
        do {
            grpc::ClientContext context;
            setDeadline(context, m_timeout);
            reply.Clear();
            throwUnlessOk(stub->Snapshot(&context, request, &reply));
            if (isFirst) {
                sequence = {reply.sequence()};
                version = {reply.config_version()};
                result.viewAge = Millis(reply.view_age_ms());
                applyPatch(config, parsePatchText(reply.config()));
                for (const std::string &wave : reply.waves())
                    waves.push_back(parseWaveRow(wave));
            }
            if (reply.hosts_size() != reply.host_sequences_size())
                throw PlatformUnavailable(
                    "peer: the snapshot's hosts and host sequences differ in number");
            for (int index = 0; index < reply.hosts_size(); ++index)
                hosts.push_back(parseHostRow(reply.hosts(index), {reply.host_sequences(index)}));
            request.set_after_host(reply.next_after_host());
            isFirst = false;
        } while (!reply.next_after_host().empty());
    } catch (const InvalidDocument &error) {
        throw PlatformUnavailable(std::string("peer: ") + error.what());
    }
    result.state.restore(sequence, version, std::move(config), std::move(hosts), waves);
    return result;
}

} // namespace oleanderhall
