// A soak of fleet nodes as separate processes: random faults by seed, and a check of the promises
// while it runs. See docs/ADVANCED.md.
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

constexpr Millis kStartupTime{4000}; // nodes start, one becomes the owner
constexpr Millis kCheckInterval{100};
/// After the last fault: a lost lease, a change of owner and what then waits for a worker that
/// can't be read (7 s), and the work itself.
constexpr Millis kFinishTimeout{40000};

struct Settings
{
    DeploymentSettings deployment;
    int faultSeconds = 15; ///< With faults.
    int faultCount = 14;
    double jobsPerSecond = 6;
};

void run(boost::asio::io_context &io, Millis time)
{
    io.run_for(time);
    io.restart();
}

/// Returns whether every promise held.
bool runSeed(const Settings &settings)
{
    std::filesystem::create_directories(settings.deployment.logFolder);
    boost::asio::io_context io{1};
    InvariantChecker promises;
    Deployment deployment(io, settings.deployment, promises);
    run(io, kStartupTime);
    Callers callers(io, deployment, promises, settings.deployment.seed);
    FaultInjector faults(io, deployment, settings.deployment.seed);
    const Millis time = std::chrono::seconds(settings.faultSeconds);
    callers.start(settings.jobsPerSecond, time);
    faults.plan(settings.faultCount, Millis(1000), time);
    run(io, time + Millis(500));
    faults.clearAll();
    bool hasCrashed = deployment.restartNodes();
    Millis waited{0};
    for (; waited < kFinishTimeout && !promises.areAllJobsFinished(); waited += kCheckInterval)
        run(io, kCheckInterval);
    run(io, Millis(1500)); // stops of what is left
    hasCrashed = deployment.restartNodes() || hasCrashed;
    promises.checkFinalState();
    const bool holds = promises.violations().empty() && !hasCrashed;
    std::cout << "seed " << settings.deployment.seed << ": " << callers.accepted()
              << " jobs accepted, " << callers.refused() << " refused, " << callers.unknown()
              << " unknown; " << promises.runs() << " runs; finished " << waited.count()
              << " ms after the last fault; " << (holds ? "holds" : "BROKEN") << std::endl;
    if (holds)
        return true;
    if (hasCrashed)
        std::cout << "  a node ended by itself\n";
    for (const std::string &violation : promises.violations())
        std::cout << "  " << violation << "\n";
    for (const std::string &fault : faults.history())
        std::cout << "  fault at " << fault << "\n";
    std::cout.flush();
    return false;
}

/// Reads the seeds that once failed: a number at the start of each line.
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
    app.add_option("--node", settings.deployment.nodeProgram, "Program of the nodes")->required();
    app.add_option("--logs", settings.deployment.logFolder, "Folder for the nodes' logs")
        ->required();
    app.add_option("--first-port", settings.deployment.firstPort, "First of a hundred ports");
    app.add_option("--nodes", settings.deployment.nodes, "Fleet nodes")->check(CLI::Range(1, 10));
    app.add_option("--workers", settings.deployment.workers, "Workers")->check(CLI::Range(2, 24));
    app.add_option("--seed", first, "First seed");
    app.add_option("--seeds", count, "How many seeds, one after another");
    app.add_option("--seed-file", seedFile, "Seeds that failed before; they run first");
    app.add_option("--seconds", settings.faultSeconds, "Time with faults")
        ->check(CLI::Range(2, 600));
    app.add_option("--faults", settings.faultCount, "Faults in that time");
    app.add_option("--jobs-per-second", settings.jobsPerSecond, "Jobs that arrive");
    CLI11_PARSE(app, argc, argv);
    std::signal(SIGPIPE, SIG_IGN);
    std::vector<std::uint32_t> seeds = readSeeds(seedFile);
    for (int index = 0; index < count; ++index)
        seeds.push_back(first + static_cast<std::uint32_t>(index));
    const std::string logs = settings.deployment.logFolder;
    int broken = 0;
    for (const std::uint32_t seed : seeds) {
        settings.deployment.seed = seed;
        settings.deployment.logFolder = logs + "/seed-" + std::to_string(seed);
        broken += runSeed(settings) ? 0 : 1;
    }
    std::cout << seeds.size() << " seeds, " << broken << " with a promise broken\n";
    return broken == 0 ? 0 : 1;
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
