// Soak test of fleet nodes that run as separate processes: injects random faults, which a seed
// determines, and checks invariants during the run. See docs/ADVANCED.md.
#include "callers.h"
#include "deployment.h"
#include "faultinjector.h"
#include "invariantchecker.h"

#include "../src/daemon/log.h"

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

namespace oleanderhall::soak {

namespace {

constexpr Millis kStartupTime{4000}; // until the nodes are up and one is the owner
constexpr Millis kCheckInterval{100};
constexpr Millis kFirstWave{2000};
constexpr Millis kWaveInterval{7000};
/// Time for all jobs to finish after the last fault. Covers a lost lease, a change of owner, the
/// wait for a worker that can't be synced (7 s) and the work itself.
constexpr Millis kFinishTimeout{40000};

struct Settings
{
    DeploymentSettings deployment;
    int faultSeconds = 15; ///< Length of the phase with faults.
    int faultCount = 14;
    double jobsPerSecond = 6;
    int crashingJobs = 0;
};

void run(boost::asio::io_context &io, Millis time)
{
    io.run_for(time);
    io.restart();
}

/// Returns whether no invariant was violated and no node crashed.
bool runSeed(const Settings &settings)
{
    std::filesystem::create_directories(settings.deployment.logFolder);
    boost::asio::io_context io{1};
    InvariantChecker checker;
    Deployment deployment(io, settings.deployment, checker);
    run(io, kStartupTime);
    Callers callers(io, deployment, checker, settings.deployment.seed);
    FaultInjector faults(io, deployment, settings.deployment.seed);
    const Millis time = std::chrono::seconds(settings.faultSeconds);
    callers.start(settings.jobsPerSecond, time);
    callers.startCrashingJobs(settings.crashingJobs, time);
    if (settings.deployment.hasHosts) {
        callers.startLongRunningJobs(time);
        for (Millis begin = kFirstWave; begin < time; begin += kWaveInterval)
            faults.schedule(begin, "wave", [&deployment] { deployment.startWave(); });
    }
    faults.plan(settings.faultCount, Millis(1000), time);
    run(io, time + Millis(500));
    faults.clearAll();
    bool hasCrashed = deployment.restartNodes();
    Millis waited{0};
    const auto isFinished = [&] { return checker.areAllJobsFinished() && !callers.isAnyActive(); };
    for (; waited < kFinishTimeout && !isFinished(); waited += kCheckInterval)
        run(io, kCheckInterval);
    run(io, Millis(1500)); // lets stop commands reach the remaining runs
    hasCrashed = deployment.restartNodes() || hasCrashed;
    checker.checkFinalState();
    const bool holds = checker.violations().empty() && !hasCrashed;
    std::cout << "seed " << settings.deployment.seed << ": " << callers.accepted()
              << " jobs accepted, " << callers.refused() << " refused, " << callers.unknown()
              << " unknown; " << checker.runs() << " runs; finished " << waited.count()
              << " ms after the last fault; " << (holds ? "holds" : "BROKEN") << std::endl;
    if (holds)
        return true;
    if (hasCrashed)
        std::cout << "  a node terminated unexpectedly\n";
    for (const std::string &violation : checker.violations())
        std::cout << "  " << violation << "\n";
    for (const std::string &fault : faults.history())
        std::cout << "  fault at " << fault << "\n";
    std::cout.flush();
    return false;
}

/// Reads the seeds of earlier failures: a number at the start of each line.
std::vector<std::uint32_t> readSeeds(const std::string &file)
{
    std::vector<std::uint32_t> seeds;
    std::ifstream in(file);
    std::string line;
    while (std::getline(in, line)) {
        std::istringstream words(line);
        std::uint32_t seed = 0;
        if (words >> seed)
            seeds.push_back(seed);
    }
    return seeds;
}

int runAll(int argc, char **argv)
{
    CLI::App app{"Fault soak of oleanderhall's fleet nodes"};
    Settings settings;
    std::string seedFile;
    std::uint32_t first = 1;
    int count = 1;
    app.add_option("--node", settings.deployment.nodeProgram, "Executable of the fleet nodes")
        ->required();
    app.add_option("--logs", settings.deployment.logFolder, "Folder for the nodes' logs")
        ->required();
    app.add_option("--first-port", settings.deployment.firstPort, "First of 110 consecutive ports");
    app.add_option("--nodes", settings.deployment.nodes, "Number of fleet nodes")
        ->check(CLI::Range(1, 10));
    app.add_option("--workers", settings.deployment.workers, "Workers")->check(CLI::Range(2, 24));
    app.add_flag("--hosts", settings.deployment.hasHosts,
                 "Hosts that are moved and maintained in waves under long-running jobs");
    app.add_option("--seed", first, "First seed");
    app.add_option("--seeds", count, "Number of consecutive seeds to run");
    app.add_option("--seed-file", seedFile, "File with seeds of earlier failures; they run first");
    app.add_option("--seconds", settings.faultSeconds,
                   "Length of the phase with faults, in seconds")
        ->check(CLI::Range(2, 600));
    app.add_option("--faults", settings.faultCount, "Number of faults");
    app.add_option("--jobs-per-second", settings.jobsPerSecond, "Jobs submitted per second");
    app.add_option("--crashing-jobs", settings.crashingJobs,
                   "Jobs whose task crashes each worker that starts it");
    CLI11_PARSE(app, argc, argv);
    std::signal(SIGPIPE, SIG_IGN);
    std::vector<std::uint32_t> seeds = readSeeds(seedFile);
    for (int index = 0; index < count; ++index)
        seeds.push_back(first + static_cast<std::uint32_t>(index));
    const std::string logs = settings.deployment.logFolder;
    int failedSeeds = 0;
    for (const std::uint32_t seed : seeds) {
        settings.deployment.seed = seed;
        settings.deployment.logFolder = logs + "/seed-" + std::to_string(seed);
        failedSeeds += runSeed(settings) ? 0 : 1;
    }
    std::cout << seeds.size() << " seeds, " << failedSeeds << " with violations\n";
    return failedSeeds == 0 ? 0 : 1;
}

} // namespace

} // namespace oleanderhall::soak

int main(int argc, char **argv)
{
    try {
        return oleanderhall::soak::runAll(argc, argv);
    } catch (const std::exception &error) {
        std::cerr << "oleanderhall-soak: " << error.what() << "\n";
        return 1;
    }
}
