// What a node concludes from the owner's reports. The load: a burst of a queue arrives while the
// owner is lost and no successor has taken over.
#include "../../src/node/fleetview.h"

#include <catch2/catch.hpp>

using namespace oleanderhall;

namespace {

class FleetViewTest
{
protected:
    FleetViewTest()
    {
        view.report.receivedAt = now;
        view.report.waitingJobs = {{"idle", 0}, {"busy", 3}};
        view.lastContact = now;
        view.tableClockMs = 60000;
        view.report.countedMs = 60000;
    }

    const Instant now{std::chrono::hours(1)};
    FleetView view;
};

} // namespace

TEST_CASE_METHOD(FleetViewTest, "FleetView_ownerReports_releasesJobsOfQueuesWithoutWaitingJobs",
                 "[node]")
{
    CHECK(view.mayReleaseAtOnce("idle", now));
    CHECK(view.mayReleaseAtOnce("new", now));
    CHECK_FALSE(view.mayReleaseAtOnce("busy", now));
}

TEST_CASE_METHOD(FleetViewTest, "FleetView_ownerLostInABurst_leavesTheReleaseToItsSuccessor",
                 "[node]")
{
    // Guards against jobs of a burst that wait for leases although no owner has started them.
    CHECK(view.mayReleaseAtOnce("idle", now + FleetView::kReportLifetime));
    CHECK_FALSE(view.mayReleaseAtOnce("idle", now + FleetView::kReportLifetime + Millis(1)));
}

TEST_CASE_METHOD(FleetViewTest, "FleetView_rowOfALostOwnerIsRead_itsCountsAreNotKnown", "[node]")
{
    // Guards against callers who are told that few jobs wait, as of the time before an outage.
    view.report.receivedAt = now;
    view.report.countedMs = view.tableClockMs - 3001;
    CHECK_FALSE(view.areCountsKnown(now));
}

TEST_CASE_METHOD(FleetViewTest, "FleetView_ownerIsBehindWithReadingJobs_itsCountsBecomeUnknown",
                 "[node]")
{
    // Guards against counts that lack the jobs of the last seconds, although the owner reports.
    for (const Millis behind : {Millis(0), Millis(1500), Millis(3000)}) {
        view.report.countedMs = view.tableClockMs - behind.count();
        CHECK(view.areCountsKnown(now));
    }
    CHECK_FALSE(view.areCountsKnown(now + Millis(1)));
}

TEST_CASE_METHOD(FleetViewTest, "FleetView_reportOfAnEarlierVersion_countsAreKnownForAWhile",
                 "[node]")
{
    view.report.countedMs = 0;
    CHECK(view.areCountsKnown(now + FleetView::kMaxReportAge));
    CHECK_FALSE(view.areCountsKnown(now + FleetView::kMaxReportAge + Millis(1)));
}

TEST_CASE_METHOD(FleetViewTest, "FleetView_rowOfALostOwnerIsRead_leavesTheReleaseToItsSuccessor",
                 "[node]")
{
    // Guards against jobs that wait for leases because a node that has just started, or lost its
    // place in the table's history, reads the last report of an owner that is long gone.
    view.report.countedMs = view.tableClockMs - 10000;
    CHECK_FALSE(view.mayReleaseAtOnce("idle", now));
}
