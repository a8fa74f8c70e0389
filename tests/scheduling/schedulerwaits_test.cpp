// Guards against entry hosts that refuse calls while there is room, or that see none where all
// waiting work takes long.
#include "../support/schedulerfixture.h"

using namespace oleanderhall;
using namespace oleanderhall::test;

namespace {

const PoolId kPool("pool");

} // namespace

TEST_CASE_METHOD(SchedulerTest, "Scheduler_poolWaits_roomInThePool_hasNoEntry", "[scheduling]")
{
    syncAllWorkers();
    submit(makeJob(1, "pool", {makeStep(4, Millis(2000))}));
    confirm(tick<StartCommand>());
    CHECK(scheduler.poolWaits(now).empty());
}

TEST_CASE_METHOD(SchedulerTest, "Scheduler_poolWaits_fullPool_isWaitingWorkByCores", "[scheduling]")
{
    syncAllWorkers();
    JobSpec job = makeJob(1, "pool", {makeStep(48, Millis(2000))});
    const double cores = static_cast<double>(job.steps.front().need.milliCores) / 1000;
    submit(std::move(job));
    const auto started = static_cast<double>(tick<StartCommand>().size());
    REQUIRE(started * cores > 14);
    const auto waits = scheduler.poolWaits(now);
    REQUIRE(waits.contains(kPool));
    const double expected = (48 - started) * cores * 2000 / 16;
    CHECK(std::abs(static_cast<double>(waits.at(kPool).count()) - expected) <= 1);
}

TEST_CASE_METHOD(SchedulerTest, "Scheduler_poolWaits_poolWithoutWorkers_isLong", "[scheduling]")
{
    submit(makeJob(1, "empty", {makeStep(1, Millis(2000))}));
    CHECK(scheduler.poolWaits(now).at(PoolId("empty")) >= std::chrono::seconds(10));
}
