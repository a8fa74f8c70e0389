#include "../../apps/load/historycheck.h"

#include <catch2/catch.hpp>

using namespace load;

namespace {

/// Returns one successful attempt with its execution, without a violation.
Records sampleRecords()
{
    Records records;
    records.attempts.push_back({.operation = "op-1",
                                .number = 0,
                                .isUnrepeatable = true,
                                .status = 200,
                                .respondedRequestId = "op-1.0"});
    records.executions.push_back({"op-1.0", "h1", "s", 1, 2});
    return records;
}

} // namespace

TEST_CASE("checkHistory: a history without fault: has no violation")
{
    CHECK(checkHistory(sampleRecords()).violations.empty());
}

TEST_CASE("checkHistory: an unrepeatable operation that ran twice: is named")
{
    Records records = sampleRecords();
    records.executions.push_back({"op-1.1", "h2", "s", 3, 4});
    CHECK(checkHistory(records).doubleExecutions == 1);
}

TEST_CASE("checkHistory: a request refused as not run that ran: is named")
{
    Records records = sampleRecords();
    records.attempts[0].executionStatus = "no";
    records.attempts[0].status = 503;
    CHECK(checkHistory(records).falseNotExecuted == 1);
}

TEST_CASE("checkHistory: an answer of another request: is named")
{
    Records records = sampleRecords();
    records.attempts[0].respondedRequestId = "op-2.0";
    CHECK(checkHistory(records).wrongResponses == 1);
}
