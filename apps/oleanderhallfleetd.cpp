// Daemon of a fleet node. The settings are described in docs/operators/settings.md.
#include "../src/node/fleetnode.h"

#include <iostream>

int main(int argc, char **argv)
{
    int exitCode = 0;
    const auto settings = oleanderhall::parseNodeSettings(argc, argv, exitCode);
    if (!settings)
        return exitCode;
    try {
        return oleanderhall::runFleetNode(*settings);
    } catch (const std::exception &error) {
        std::cerr << "oleanderhall-fleetd: " << error.what() << "\n";
        return 1;
    }
}
