// The Scheduler's indexes of jobs and workers, which spare it a search of all of them.
#include "../support/schedulerfixture.h"

using namespace oleanderhall;
using namespace oleanderhall::test;

TEST_CASE_METHOD(SchedulerTest, "Scheduler_recordsDueAndWriteLost_deletesEachAgain", "[scheduler]")
{
    // Guards against records that are deleted too early, or never after a lost write.
    for (const std::uint64_t id : {3, 1, 2})
        scheduler.addJob(makeJob(id, "pool", {}), {.id = {id}, .state = JobState::Completed}, true,
                         now);
    const SchedulerSettings settings;
    advance(settings.statusLifetime);
    tick<ProgressWrite>();
    CHECK(writes.empty());
    advance(settings.statusLifetime);
    for (const bool isDurable : {false, true}) {
        tick<ProgressWrite>();
        REQUIRE(writes.size() == 1);
        CHECK(writes.front().droppedJobs.size() == 3);
        CHECK(scheduler.areIndexesConsistent());
        scheduler.onProgressWritten(writes.front().batch, isDurable, now);
        CHECK(scheduler.areIndexesConsistent());
        writes.clear();
        advance(Millis(200));
    }
    CHECK(scheduler.jobs().empty());
    CHECK(tick<ProgressWrite>().empty());
}
