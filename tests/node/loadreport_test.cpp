// Guards against admission decided on an owner's report that is old, damaged or of another version.
#include "../../src/node/viewupdate.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace oleanderhall;

namespace {

class LoadReportTest
{
protected:
    LoadReportTest()
    {
        view.lastContact = now;
        view.tableClockMs = 50000;
    }

    static std::string textOf(const LoadReport &report)
    {
        web::json::value record = web::json::value::object();
        record["waiting"] = web::json::value::object();
        encodeLoadReport(report, record);
        return record.serialize();
    }

    const Instant now{std::chrono::hours(1)};
    const LoadReport report{
        .poolWaits = {{"pool", Millis(1500)}}, .teamRates = {{"team", 12.5}}, .writtenMs = 50000};
    FleetView view;
};

} // namespace

TEST_CASE_METHOD(LoadReportTest, "LoadReport_encodedAndApplied_isTheSame", "[node]")
{
    applyOwnerReport(view, textOf(report));
    CHECK(view.report.load.poolWaits == report.poolWaits);
    CHECK(view.report.load.teamRates == report.teamRates);
    CHECK(view.isLoadKnown(now));
}

TEST_CASE_METHOD(LoadReportTest, "LoadReport_olderThanItsLimit_decidesNothing", "[node]")
{
    applyOwnerReport(view, textOf(report));
    CHECK(view.isLoadKnown(now + Millis(2500)));
    CHECK_FALSE(view.isLoadKnown(now + Millis(2501)));
    // A node that reads the row of an owner that is lost has received it just now.
    view.tableClockMs = 60000;
    applyOwnerReport(view, textOf(report));
    CHECK_FALSE(view.isLoadKnown(now));
    // The clock of a table that was started anew is behind the report.
    view.tableClockMs = 10;
    CHECK_FALSE(view.isLoadKnown(now));
}

TEST_CASE_METHOD(LoadReportTest, "LoadReport_ofAnEarlierVersionOrDamaged_decidesNothing", "[node]")
{
    applyOwnerReport(view, textOf(report));
    applyOwnerReport(view, R"({"waiting":{"queue":3}})");
    CHECK_FALSE(view.isLoadKnown(now));
    CHECK(view.report.waitingJobs.at("queue") == 3);
    applyOwnerReport(view, textOf(report));
    applyOwnerReport(view, R"({"waiting":{},"writtenMs":50000,"poolWaitMs":{"p":"x"}})");
    CHECK_FALSE(view.isLoadKnown(now));
}

TEST_CASE_METHOD(LoadReportTest, "LoadReport_anyDamage_throwsNothing", "[node]")
{
    const std::string text = textOf(report);
    CHECK(rc::check("any cut or changed byte", [&] {
        std::string damaged = text;
        damaged[*rc::gen::inRange<std::size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
        damaged.resize(*rc::gen::inRange<std::size_t>(0, text.size() + 1));
        applyOwnerReport(view, damaged);
    }));
}

TEST_CASE_METHOD(LoadReportTest, "LoadReport_largestPlannedSize_fitsIntoTheTrafficLimit", "[node]")
{
    // Two reports a second share 6 KB/s with all other control traffic.
    LoadReport largest{.writtenMs = 50000};
    for (int index = 0; index < 67; ++index)
        largest.poolWaits["pool-" + std::to_string(index)] = Millis(12345);
    for (int index = 0; index < 61; ++index)
        largest.teamRates["team-" + std::to_string(index)] = 123.4;
    CHECK(textOf(largest).size() < 2500);
    CHECK(textOf({.writtenMs = 50000}).size() < 80);
}

TEST_CASE("reportedTeamRates_teamsFarBelowTheirWeight_areOmitted", "[node]")
{
    const Instant now{std::chrono::hours(1)};
    TeamRates rates{Millis(5000)};
    for (int job = 0; job < 45; ++job) {
        rates.add(TeamId("near"), now);
        rates.add(TeamId("far"), now);
    }
    const auto reported = reportedTeamRates(
        rates, {{.id = TeamId("near"), .weight = 10}, {.id = TeamId("far"), .weight = 20}}, now);
    CHECK(reported == std::map<std::string, double>{{"near", 9}});
}
