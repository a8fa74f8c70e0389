#include "oleanderhall/routing/tablespeed.h"

#include "../../src/node/tablemonitor.h"

#include <catch2/catch.hpp>

using namespace oleanderhall;
using platform::TableCall;

namespace {

class TableSpeedTest
{
protected:
    void transact(Millis duration)
    {
        const Instant sentAt = now;
        speed.onSent(sentAt);
        now += duration;
        speed.onExecuted(sentAt, now);
    }
    void observe(TableCall::Kind kind, TableCall::Result result)
    {
        monitor.observe({.kind = kind, .result = result, .sentAt = now}, now);
    }

    Instant now{std::chrono::hours(1)};
    TableSpeed speed;
    TableMonitor monitor;
};

} // namespace

TEST_CASE_METHOD(TableSpeedTest, "TableSpeed_usualDurations_isNeverSlow", "[slowtable]")
{
    // Guards against forwarding while the table is healthy: 30 nodes that write to one partition
    // at once wait for 100 ms, and now and then a packet is lost.
    for (int count = 0; count < 1000; ++count) {
        transact(count % 10 == 0 ? Millis(250) : Millis(10 + count % 100));
        REQUIRE_FALSE(speed.isSlow(now));
    }
}

TEST_CASE_METHOD(TableSpeedTest, "TableSpeed_sixtyTimesSlower_isSlowAfterTwoTransactions",
                 "[slowtable]")
{
    transact(Millis(180));
    CHECK_FALSE(speed.isSlow(now));
    transact(Millis(180));
    CHECK(speed.isSlow(now));
}

TEST_CASE_METHOD(TableSpeedTest, "TableSpeed_queueFull_isSlowAtOnce", "[slowtable]")
{
    CHECK_FALSE(speed.isSlow(now));
    speed.onSent(now);
    speed.onQueueFull(now, now);
    CHECK(speed.isSlow(now));
}

TEST_CASE_METHOD(TableSpeedTest, "TableSpeed_transactionWithoutAnswer_staysSlowAfterItsEnd",
                 "[slowtable]")
{
    // Guards against nodes that write again, all of them, after each transaction that ended without
    // an answer: 29 of them kept the queues of a slow table full with transactions of few jobs.
    speed.onSent(now);
    speed.onFailed(now, now + Millis(1800));
    CHECK(speed.isSlow(now + Millis(1800)));
}

TEST_CASE_METHOD(TableSpeedTest, "TableSpeed_writerWaitsForSlowTable_reportsTheWait", "[slowtable]")
{
    // Guards against reports from before the table became slow, after which other nodes write.
    transact(Millis(10));
    speed.onSent(now);
    now += Millis(400);
    CHECK(speed.latestDuration(now) == Millis(400));
    speed.onFailed(now - Millis(400), now);
    now += TableSpeed::kReportLifetime;
    CHECK_FALSE(speed.latestDuration(now));
}

TEST_CASE_METHOD(TableSpeedTest, "TableSpeed_oneFastTransaction_staysSlow", "[slowtable]")
{
    // Guards against switching to and fro while a partition is idle now and then.
    transact(Millis(180));
    transact(Millis(180));
    transact(Millis(10));
    transact(Millis(10));
    CHECK(speed.isSlow(now));
    transact(Millis(100));
    transact(Millis(10));
    CHECK(speed.isSlow(now));
    transact(Millis(10));
    transact(Millis(10));
    CHECK_FALSE(speed.isSlow(now));
}

TEST_CASE_METHOD(TableSpeedTest, "TableSpeed_writerReportsFastTable_isNoLongerSlow", "[slowtable]")
{
    // Guards against a node that passes all jobs on and so never measures the table again.
    transact(Millis(180));
    transact(Millis(180));
    for (int count = 0; count < TableSpeed::kFastToLeave; ++count) {
        CHECK(speed.isSlow(now));
        speed.onReported(Millis(8), now);
    }
    CHECK_FALSE(speed.isSlow(now));
}

TEST_CASE_METHOD(TableSpeedTest, "TableSpeed_noObservation_isForgotten", "[slowtable]")
{
    transact(Millis(180));
    transact(Millis(180));
    now += TableSpeed::kMemory + Millis(1);
    CHECK_FALSE(speed.isSlow(now));
    transact(Millis(180));
    CHECK_FALSE(speed.isSlow(now));
}

TEST_CASE_METHOD(TableSpeedTest, "TableSpeed_noAnswer_isSlowWhileInFlight", "[slowtable]")
{
    // Guards against waiting for the end of a transaction of 2.5 s to see that the table is silent.
    speed.onSent(now);
    CHECK_FALSE(speed.isSlow(now + TableSpeed::kSlowInFlight - Millis(1)));
    CHECK(speed.isSlow(now + TableSpeed::kSlowInFlight));
    speed.onFailed(now, now + Millis(100));
    CHECK_FALSE(speed.isSlow(now + TableSpeed::kSlowInFlight));
}

TEST_CASE_METHOD(TableSpeedTest, "TableMonitor_partitionQueueFull_tableIsAvailable", "[slowtable]")
{
    // Guards against a slow partition that is taken for a table that rejects this node.
    for (int count = 0; count < 10; ++count)
        observe(TableCall::Kind::Transaction, TableCall::Result::TooManyRequests);
    CHECK(monitor.availability.isAvailable());
}

TEST_CASE_METHOD(TableSpeedTest, "TableMonitor_nodeTurnedAway_tableIsUnavailableUntilItAnswers",
                 "[slowtable]")
{
    const auto result = GENERATE(TableCall::Result::TooManyRequests, TableCall::Result::Failed);
    for (int count = 0; count < TableAvailability::kMaxFailures; ++count) {
        CHECK(monitor.availability.isAvailable());
        observe(TableCall::Kind::LongPoll, result);
    }
    CHECK_FALSE(monitor.availability.isAvailable());
    observe(TableCall::Kind::LongPoll, TableCall::Result::Executed);
    CHECK(monitor.availability.isAvailable());
}
