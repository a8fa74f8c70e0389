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
