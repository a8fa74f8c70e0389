#include "oleanderhall/jobs/jobcodec.h"
#include "oleanderhall/jobs/jobprogress.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace oleanderhall;

TEST_CASE("TaskId_textAndBack_isTheSame", "[jobs]")
{
    CHECK(rc::check("any id", [] {
        const TaskId id{{*rc::gen::arbitrary<std::uint64_t>()},
                        *rc::gen::inRange(0, 100000),
                        *rc::gen::inRange(0, 1000),
                        *rc::gen::inRange(0, 100000)};
        RC_ASSERT(parseTaskId(textOf(id)) == id);
    }));
}

TEST_CASE("TaskId_brokenText_isNotAnId", "[jobs]")
{
    for (const char *text :
         {"", "0", "00000000000000ab", "00000000000000ab.1.2", "00000000000000ab.1.2.x",
          "00000000000000ab.1.2.3.4", "zz000000000000ab.1.2.3", "00000000000000ab.-1.2.3"})
        CHECK_FALSE(parseTaskId(text));
}

TEST_CASE("JobProgress_storedAndRead_isTheSame", "[jobs]")
{
    const JobProgress progress{.id = {77},
                               .state = JobState::Running,
                               .team = TeamId("team"),
                               .acceptedMs = 1234567890123,
                               .isReleased = true,
                               .releasedPools = {PoolId("a"), PoolId("b")},
                               .tasks = {{.occurrence = 1,
                                          .step = 2,
                                          .index = 3,
                                          .isDone = false,
                                          .failures = 2,
                                          .endedRuns = {1001, 3, 1000000007},
                                          .checkpoint = "00000bb8"}}};
    CHECK(decodeProgress({77}, encodeProgress(progress)) == progress);
}

TEST_CASE("JobSpec_storedAndRead_keepsEveryField", "[jobs]")
{
    JobSpec job{.id = {9}};
    job.team = TeamId("team");
    job.queue.name = "q";
    job.queue.pool = PoolId("pool");
    job.queue.priority = 2;
    job.queue.maxAttempts = 4;
    job.queue.stretch = 1.6;
    job.queue.allowance = Millis(600);
    job.queue.advice = AdviceConfig{Millis(1), Millis(2), Millis(3)};
    job.config = {12};
    job.payload = "text \" with quotes";
    job.occurrences = 3;
    job.firstDueMs = 1700000000000;
    job.intervalMs = 2000;
    job.acceptedMs = 42;
    StepSpec step{.count = 7, .need = {1500, 2048, 1}, .estimate = Millis(900), .after = {0, 1}};
    step.savesProgress = step.isGang = step.isLongRunning = step.usesIdleCores = true;
    step.requiredLabel = "a";
    step.dataRack = "r1-3";
    step.maxPerWorker = 2;
    step.image = "img";
    step.latencyTarget = Millis(80);
    step.maxDisrupted = 1;
    job.steps = {step};
    const auto read = decodeJob({9}, encodeJob(job));
    REQUIRE(read);
    CHECK(encodeJob(*read) == encodeJob(job));
    CHECK(read->team == TeamId("team"));
    CHECK(read->steps[0].after == step.after);
    CHECK(read->steps[0].isLongRunning);
    CHECK_FALSE(read->steps[0].needsOneRack);
    CHECK(read->queue.advice->ticketLifetime == Millis(3));
}

TEST_CASE("StoredRecords_damagedBytes_areTurnedDownWithoutHarm", "[jobs]")
{
    CHECK(rc::check("any cut or changed byte", [] {
        std::string text = *rc::gen::element(
            encodeProgress({.id = {1}, .tasks = {{.step = 1, .endedRuns = {1, 2}}}}),
            encodeJob({.id = {1}, .payload = "x", .steps = {StepSpec{}}}));
        const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
        text[at] = *rc::gen::arbitrary<char>();
        text.resize(*rc::gen::inRange<std::size_t>(0, text.size() + 1));
        decodeProgress({1}, text);
        decodeJob({1}, text);
    }));
}

TEST_CASE("JobProgress_workersCrashedUnderATask_theCountIsRestored", "[jobs]")
{
    // Guards against a new owner that lets the task crash as many workers again.
    const JobProgress progress{.id = {77},
                               .tasks = {{.step = 1, .endedRuns = {1}}, {.step = 2, .crashes = 2}}};
    CHECK(decodeProgress({77}, encodeProgress(progress)) == progress);
}

TEST_CASE("JobProgress_jobWithdrawn_isRestored", "[jobs]")
{
    // Guards against a cancelled job that a node shows or accepts again.
    const JobProgress progress{.id = {77}, .state = JobState::Cancelled, .isWithdrawn = true};
    CHECK(decodeProgress({77}, encodeProgress(progress)) == progress);
}

TEST_CASE("JobProgress_endedJobStillUsesResources_isRestored", "[jobs]")
{
    const JobProgress progress{.id = {77},
                               .state = JobState::Cancelled,
                               .team = TeamId("a"),
                               .stillRunning = {.milliCores = 3000, .memoryMb = 512, .gpus = 1}};
    CHECK(decodeProgress({77}, encodeProgress(progress)) == progress);
}
