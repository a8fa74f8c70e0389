// Sample that uses only the decision library: reads a register and its rules and prints the first
// decision of each pool's planner. Makes no network calls.
//
//     oleanderhall-planner-sample samples/licensing/register.json samples/licensing/rules.json
#include <oleanderhall/core/errors.h>
#include <oleanderhall/fleet/poolplanner.h>
#include <oleanderhall/register/registerparser.h>

#include <fstream>
#include <iostream>
#include <sstream>

using namespace oleanderhall;

namespace {

Document readDocument(const char *path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return {path, text.str()};
}

/// Returns the fleet state right after the configuration came into force.
FleetState initialState(const Register &config)
{
    LogEntry entry{.sequence = {1}, .actor = EntryId("sample"), .operation = "first"};
    entry.changes.push_back(ConfigChange{{1}, difference(Register{}, config)});
    FleetState state;
    state.apply(entry);
    return state;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 3) {
        std::cerr << "usage: oleanderhall-planner-sample REGISTER RULES\n";
        return 2;
    }
    try {
        const Register config = parseRegister(readDocument(argv[1]), readDocument(argv[2]));
        const FleetState state = initialState(config);
        for (const auto &[pool, rule] : config.pools) {
            PoolPlanner planner(pool);
            const PoolPlan plan = planner.decide(state, {}, Instant{});
            std::cout << pool.name() << ": " << plan.changes.size() << " changes: " << plan.reason
                      << "\n";
        }
        return 0;
    } catch (const InvalidDocument &error) {
        std::cerr << error.findings().text();
        return 3;
    }
}
