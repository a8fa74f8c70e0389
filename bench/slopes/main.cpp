// Measures how the cost of the control plane grows with the fleet: memory of the state, time to
// apply a change, time to decide for a pool and to assign pools to entry hosts, and sizes of stored
// records. Prints CSV, one row per fleet size.
#include <oleanderhall/fleet/poolplanner.h>
#include <oleanderhall/membership/memberrow.h>
#include <oleanderhall/membership/rendezvous.h>
#include <oleanderhall/register/registerparser.h>
#include <oleanderhall/rollout/loghead.h>

#include <malloc.h>

#include <chrono>
#include <fstream>
#include <iostream>
#include <string>

using namespace oleanderhall;

namespace {

constexpr int kHostsPerRack = 4;
constexpr int kRepeats = 200;

struct FleetSize
{
    int hosts;
    int pools;
    int zones;
};

double residentMb()
{
    malloc_trim(0);
    std::ifstream statm("/proc/self/statm");
    long total = 0;
    long resident = 0;
    statm >> total >> resident;
    constexpr double kBytesPerPage = 4096;
    return static_cast<double>(resident) * kBytesPerPage / (1 << 20);
}

/// Returns the mean duration of a call of `work`.
template <typename Work>
double meanMicroseconds(int repeats, const Work &work)
{
    const auto start = std::chrono::steady_clock::now();
    for (int count = 0; count < repeats; ++count)
        work(count);
    const std::chrono::duration<double, std::micro> elapsed = std::chrono::steady_clock::now()
        - start;
    return elapsed.count() / repeats;
}

Register makeRegister(const FleetSize &size)
{
    Register config;
    for (int pool = 0; pool < size.pools; ++pool) {
        const int hosts = size.hosts / size.pools;
        PoolRule rule{.id = PoolId("pool-" + std::to_string(pool)),
                      .minAvailable = hosts * 8 / 10,
                      .maxUnavailable = std::max(hosts / 10, 1),
                      .maxDisruptedRacks = hosts};
        config.pools.emplace(rule.id, rule);
        ServiceRule service{.id = ServiceId("service-" + std::to_string(pool)),
                            .pool = rule.id,
                            .instances = hosts * 8 / 10,
                            .port = static_cast<std::uint16_t>(7000 + pool)};
        config.services.emplace(service.id, service);
    }
    for (int index = 0; index < size.hosts; ++index) {
        const std::string zone = "zone-" + std::to_string(index % size.zones);
        const int inZone = index / size.zones;
        HostSpec spec{.id = HostId(zone + "-host-" + std::to_string(inZone)),
                      .zone = ZoneId(zone),
                      .rack = RackId(zone + "-rack-" + std::to_string(inZone / kHostsPerRack)),
                      .pool = PoolId("pool-" + std::to_string(index % size.pools)),
                      .address = "10." + std::to_string(index >> 16) + "."
                          + std::to_string((index >> 8) & 255) + "." + std::to_string(index & 255),
                      .cores = 64,
                      .memoryGb = 128};
        config.hosts.emplace(spec.id, spec);
    }
    return config;
}

FleetState makeState(const Register &config)
{
    std::vector<HostRecord> records;
    records.reserve(config.hosts.size());
    for (const auto &[id, spec] : config.hosts) {
        HostRecord record{.id = id, .pool = spec.pool, .state = HostState::Serving, .epoch = {1}};
        const std::string number = spec.pool.name().substr(5); // what follows "pool-"
        record.instances.push_back({ServiceId("service-" + number), InstanceState::Ready});
        records.push_back(std::move(record));
    }
    FleetState state;
    state.restore({1}, {1}, config, std::move(records), {});
    return state;
}

Observations observe(const FleetState &state, PoolId pool)
{
    Observations observations;
    for (const HostId host : state.hostsOf(pool)) {
        HostObservation observation{.health = Health::Healthy, .workerEpoch = {1}};
        observation.observedAt = state.sequence();
        observation.activeInstances = 1;
        for (const InstanceRecord &instance : state.record(host)->instances)
            observation.running.push_back(instance.service);
        observations.hosts.emplace(host, observation);
    }
    return observations;
}

void measure(const FleetSize &size)
{
    const double before = residentMb();
    FleetState state;
    {
        const Register config = makeRegister(size);
        state = makeState(config);
    }
    const double stateMb = residentMb() - before;
    const HostRecord sample = state.hosts().begin()->second;
    const auto makeEntry = [&](int) {
        LogEntry entry{.sequence = state.sequence().next(),
                       .actor = EntryId("entry-1"),
                       .operation = "entry-1-1234567890-1234567890-100",
                       .reason = sample.id.name() + " draining: wave pool-0-12345"};
        HostRecord record = sample;
        entry.changes.push_back(HostChange{record});
        return entry;
    };
    const std::string entryText = toJson(makeEntry(0)).serialize();
    const double applyUs = meanMicroseconds(kRepeats, [&](int count) {
        const LogEntry entry = parseLogEntry(toJson(makeEntry(count)).serialize());
        state.apply(entry);
    });
    const PoolId pool = state.config().pools.begin()->first;
    const Observations observations = observe(state, pool);
    PoolPlanner planner(pool);
    const double decideUs = meanMicroseconds(kRepeats, [&](int) {
        planner.decide(state, observations, std::chrono::steady_clock::now());
    });
    std::vector<EntryId> live;
    live.reserve(static_cast<std::size_t>(size.zones) * 2);
    for (int entry = 0; entry < size.zones * 2; ++entry)
        live.push_back(EntryId("entry-" + std::to_string(entry)));
    const double ownersUs = meanMicroseconds(kRepeats, [&](int) {
        for (const auto &[id, rule] : state.config().pools)
            ownerOf(id, live);
    });
    const MemberRow row{.id = EntryId("entry-1"),
                        .zone = ZoneId("zone-1"),
                        .peerAddress = "10.0.0.1:8082",
                        .incarnation = "1234567890-1234567890",
                        .heartbeatCount = 100000,
                        .acknowledged = {1000000},
                        .config = {10000}};
    std::cout
        << size.hosts << "," << size.pools << "," << size.zones << "," << stateMb << "," << applyUs
        << "," << decideUs << "," << ownersUs << "," << entryText.size() << ","
        << encodeMember(row).size() << ","
        << encodeHead({{1000000}, {10000}, "config-10000-entry-1-1234567890-100", {9984}}).size()
        << "\n";
}

} // namespace

int main()
{
    std::cout << "hosts,pools,zones,state_mb,apply_entry_us,decide_pool_us,owners_us,entry_bytes,"
                 "member_row_bytes,head_bytes\n";
    for (const FleetSize size :
         {FleetSize{50, 5, 4}, FleetSize{1000, 10, 8}, FleetSize{5000, 25, 14},
          FleetSize{12500, 40, 20}, FleetSize{25000, 67, 28}})
        measure(size);
    return 0;
}
