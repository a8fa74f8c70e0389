#include "../../src/node/nodesettings.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <fstream>

using namespace oleanderhall;

namespace {

class NodeSettingsTest
{
protected:
    ~NodeSettingsTest() { unsetenv("OLEANDERHALL_CONFIG"); }

    std::optional<NodeSettings> parseFile(const std::string &text)
    {
        const char *path = "nodesettings_test.tmp";
        std::ofstream(path) << text;
        setenv("OLEANDERHALL_CONFIG", path, 1);
        const char *arguments[] = {"oleanderhall-fleetd"};
        const auto settings = parseNodeSettings(1, arguments, exitCode);
        std::remove(path);
        return settings;
    }

    int exitCode = 0;
};

const char *const kCompleteFile = R"(id = "edge-1"
zone = "z1"
callers = "10.1.0.9:8624"
health = "10.1.0.9:8622"
table = "10.2.0.1:8621"
hosts = ""
advice = ""
stop-ms = 300
stop-limit-s = 5.5
something-new = 7
)";

} // namespace

TEST_CASE_METHOD(NodeSettingsTest, "NodeSettings_wholeFile_isTaken", "[settings]")
{
    const auto settings = parseFile(kCompleteFile);
    REQUIRE(settings);
    CHECK(settings->id.name() == "edge-1");
    CHECK(settings->callerAddress.port == 8624);
    CHECK(settings->taskStopTimeout == Millis(300));
    CHECK(settings->shutdownTimeout == Millis(5500));
    CHECK(settings->hostServiceAddress.empty());
}

TEST_CASE_METHOD(NodeSettingsTest, "NodeSettings_faultyFile_isTurnedDown", "[settings]")
{
    CHECK_FALSE(parseFile("id = \"edge-1\"\nstop-ms = -4\n"));
    CHECK(exitCode == 2);
}
