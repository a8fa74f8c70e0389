#include "../../src/daemon/log.h"

#include <catch2/catch.hpp>

#include <unistd.h>

using namespace oleanderhall;

namespace {

/// Replaces standard output by a pipe that is never read.
class LogTest
{
protected:
    LogTest()
        : m_output(dup(STDOUT_FILENO))
    {
        REQUIRE(pipe(m_pipe) == 0);
        dup2(m_pipe[1], STDOUT_FILENO);
        startLog("test");
    }
    ~LogTest()
    {
        dup2(m_output, STDOUT_FILENO);
        close(m_output);
        close(m_pipe[0]);
        close(m_pipe[1]);
    }

private:
    int m_output;
    int m_pipe[2] = {-1, -1};
};

} // namespace

TEST_CASE_METHOD(LogTest, "Log_readerStopsReading_dropsLinesAndDoesNotBlock", "[log]")
{
    const std::string field(2000, 'x'); // 250 such lines exceed the capacity of a pipe
    const unsigned long before = droppedLogLines();
    for (int line = 0; line < 250; ++line)
        logInfo("event", {{"field", field}});
    CHECK(droppedLogLines() > before);
}

TEST_CASE_METHOD(LogTest, "Log_burstOfLines_isBounded", "[log]")
{
    const unsigned long before = droppedLogLines();
    for (int line = 0; line < 10 * kLogLinesPerSecond; ++line)
        logInfo("event");
    CHECK(droppedLogLines() - before >= 8 * kLogLinesPerSecond);
}
