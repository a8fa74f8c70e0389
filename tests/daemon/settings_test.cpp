#include "../../src/daemon/settings.h"

#include <catch2/catch.hpp>

using namespace oleanderhall;

namespace {

std::vector<const char *> validFlags()
{
    return {"oleanderhalld", "--id",        "e1",          "--zone",      "z",
            "--callers",     "127.0.0.1:1", "--operators", "127.0.0.1:2", "--peers",
            "127.0.0.1:3",   "--table",     "http://x/",   "--objects",   "http://x/o",
            "--host-list",   "http://x/h",  "--workers",   "http://x/w"};
}

std::optional<Settings> parse(const std::vector<const char *> &flags, int &exitCode)
{
    return parseSettings(static_cast<int>(flags.size()), flags.data(), exitCode);
}

} // namespace

TEST_CASE("parseSettings: valid flags: are taken")
{
    int exitCode = 0;
    const auto settings = parse(validFlags(), exitCode);
    REQUIRE(settings);
    CHECK(settings->peers.text() == "127.0.0.1:3");
    CHECK(settings->viewLease == Millis(3000));
}

TEST_CASE("parseSettings: no flags: fails with exit code 2")
{
    int exitCode = 0;
    CHECK_FALSE(parse({"oleanderhalld"}, exitCode));
    CHECK(exitCode == 2);
}

TEST_CASE("parseSettings: a number out of range: fails with exit code 2")
{
    int exitCode = 0;
    std::vector<const char *> flags = validFlags();
    flags.insert(flags.end(), {"--view-lease-ms", "60000"});
    CHECK_FALSE(parse(flags, exitCode));
    CHECK(exitCode == 2);
}

TEST_CASE("parseSocketAddress: faulty texts: are findings at their flag")
{
    for (const std::string text :
         {"", "127.0.0.1", "127.0.0.1:0", "host:80", ":80", "1.2.3.4:x", "127.0.0.1:70000"}) {
        FindingList findings;
        parseSocketAddress(text, "--callers", findings);
        REQUIRE(findings.items().size() == 1);
        CHECK(findings.items()[0].location == "--callers");
    }
}
