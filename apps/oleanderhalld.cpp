// The daemon of an entry host. Its settings are described in docs/operators/settings.md.
#include "../src/daemon/entryhost.h"

#include <iostream>

int main(int argc, char **argv)
{
    int exitCode = 0;
    const auto settings = oleanderhall::parseSettings(argc, argv, exitCode);
    if (!settings)
        return exitCode;
    try {
        return oleanderhall::runEntryHost(*settings);
    } catch (const std::exception &error) {
        std::cerr << "oleanderhalld: " << error.what() << "\n";
        return 1;
    }
}
