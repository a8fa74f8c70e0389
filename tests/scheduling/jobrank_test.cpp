// Pattern: a queue in its turn asks five times its mean, more than its pool holds, then a
// twentieth.
#include "oleanderhall/scheduling/jobrank.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <random>
#include <vector>

using namespace oleanderhall;

namespace {

struct LoadJob
{
    double arrives = 0; // s
    int tasks = 1;
    double length = 1; // s of each task
    double cores = 1;
    int steps = 1;
    int stepsDone = 0;
    int running = 0;
    int startedInStep = 0;
    double finished = -1;

    double work() const { return steps * tasks * length * cores; }
    double objective() const { return 1.6 * steps * length + 0.6; }
};

struct Served
{
    double worth = 0; ///< Of all that was asked, between 0 and 1.
    double inTime = 0;
    double largestInTime = 0; ///< Among the largest tenth.
    double served = 0; ///< Before three times the objective.
};

using Order = std::function<JobRank(const LoadJob &, double now, double meanWork)>;

JobRankInputs factsOf(const LoadJob &job, double now, double meanWork)
{
    const auto millis = [](double value) { return Millis(static_cast<Millis::rep>(value * 1000)); };
    return {.stretch = 1.6,
            .allowance = Millis(600),
            .age = millis(now - job.arrives),
            .criticalPath = millis(job.steps * job.length),
            .criticalPathLeft = millis((job.steps - job.stepsDone) * job.length),
            .totalWork = job.work(),
            .workLeft = (job.steps - job.stepsDone) * job.tasks * job.length * job.cores,
            .meanWork = meanWork};
}

JobRank firstCome(const LoadJob &job, double, double)
{
    return {.negatedValueDensity = job.arrives};
}
JobRank shortestFirst(const LoadJob &job, double, double)
{
    return {.negatedValueDensity = job.work()};
}
JobRank ours(const LoadJob &job, double now, double meanWork)
{
    return rankOf(factsOf(job, now, meanWork));
}

/// Jobs of 40 s with turns of 4.5 s in 18 s, as the users' queues have them.
std::vector<LoadJob> turns(unsigned seed, double perSecond)
{
    std::mt19937 random(seed);
    std::lognormal_distribution<double> width(std::log(6.0), 0.6);
    std::uniform_real_distribution<double> uneven(0.5, 1.5);
    std::vector<LoadJob> jobs;
    double now = 0;
    while (now < 40) {
        const bool isTurn = std::fmod(now, 18) < 4.5;
        now += std::exponential_distribution<double>(perSecond * (isTurn ? 4.0 : 0.05))(random);
        LoadJob job{.arrives = now, .length = 0.8 * uneven(random), .cores = 3.5 * uneven(random)};
        job.tasks = std::clamp(static_cast<int>(width(random)), 1, 24);
        job.steps = random() % 5 < 3 ? 2 : 1;
        jobs.push_back(job);
    }
    return jobs;
}

/// Plays the jobs in one pool of `cores`, tasks running to their end.
Served play(std::vector<LoadJob> jobs, double cores, const Order &order)
{
    constexpr double kStep = 0.02;
    constexpr double kEnd = 60;
    double meanWork = 0;
    for (const LoadJob &job : jobs)
        meanWork += job.work() / static_cast<double>(jobs.size());
    std::vector<std::pair<double, std::size_t>> ends;
    double free = cores;
    for (double now = 0; now < kEnd; now += kStep) {
        std::erase_if(ends, [&](const auto &end) {
            if (end.first > now)
                return false;
            LoadJob &job = jobs[end.second];
            free += job.cores;
            if (--job.running == 0 && job.startedInStep == job.tasks) {
                job.startedInStep = 0;
                if (++job.stepsDone == job.steps)
                    job.finished = now;
            }
            return true;
        });
        std::vector<std::pair<JobRank, std::size_t>> waiting;
        for (std::size_t index = 0; index < jobs.size() && jobs[index].arrives <= now; ++index) {
            if (jobs[index].finished < 0 && jobs[index].startedInStep < jobs[index].tasks)
                waiting.emplace_back(order(jobs[index], now, meanWork), index);
        }
        std::sort(waiting.begin(), waiting.end());
        for (const auto &[rank, index] : waiting) {
            LoadJob &job = jobs[index];
            while (job.startedInStep < job.tasks && free >= job.cores) {
                free -= job.cores;
                ++job.running;
                ++job.startedInStep;
                ends.emplace_back(now + job.length, index);
            }
        }
    }
    std::vector<double> sizes;
    for (const LoadJob &job : jobs)
        sizes.push_back(job.work());
    std::sort(sizes.begin(), sizes.end());
    const double large = sizes[sizes.size() * 9 / 10];
    Served served;
    double owed = 0;
    double largest = 0;
    for (const LoadJob &job : jobs) {
        const double worth = std::min(4.0, 0.3 + 0.7 * job.work() / meanWork);
        const double took = job.finished < 0 ? 1e9 : job.finished - job.arrives;
        const bool isInTime = took <= job.objective();
        const bool isUseful = took <= 3 * job.objective();
        owed += worth;
        served.worth += worth * (isInTime ? 1 : isUseful ? 0.07 : 0);
        served.inTime += isInTime ? 1 : 0;
        served.served += isUseful ? 1 : 0;
        if (job.work() >= large) {
            largest += 1;
            served.largestInTime += isInTime ? 1 : 0;
        }
    }
    served.worth /= owed;
    served.inTime /= static_cast<double>(jobs.size());
    served.served /= static_cast<double>(jobs.size());
    served.largestInTime /= largest;
    return served;
}

class JobOrderTest
{
protected:
    static constexpr double kCores = 512;
    static constexpr double kPerSecond = 9;

    Served mean(const Order &order) const
    {
        constexpr int kSeeds = 5;
        Served sum;
        for (unsigned seed = 1; seed <= kSeeds; ++seed) {
            const Served one = play(turns(seed, kPerSecond), kCores, order);
            sum.worth += one.worth / kSeeds;
            sum.inTime += one.inTime / kSeeds;
            sum.served += one.served / kSeeds;
            sum.largestInTime += one.largestInTime / kSeeds;
        }
        return sum;
    }
};

} // namespace

TEST_CASE_METHOD(JobOrderTest, "JobOrder_turnsOverloadThePool_earnsMoreThanFirstComeFirstServed",
                 "[load]")
{
    const Served policy = mean(ours);
    const Served baseline = mean(firstCome);
    INFO("ours " << policy.worth << " of the worth, in time " << policy.inTime
                 << "; first come first served " << baseline.worth << ", " << baseline.inTime);
    CHECK(policy.worth > baseline.worth);
    CHECK(policy.inTime > baseline.inTime);
}

TEST_CASE_METHOD(JobOrderTest,
                 "JobOrder_turnsOverloadThePool_servesLargeJobsBetterThanShortestFirst", "[load]")
{
    const Served policy = mean(ours);
    const Served baseline = mean(shortestFirst);
    INFO("ours " << policy.worth << ", largest in time " << policy.largestInTime << ", served "
                 << policy.served << "; shortest first " << baseline.worth << ", "
                 << baseline.largestInTime << ", " << baseline.served);
    CHECK(policy.largestInTime >= baseline.largestInTime);
}

TEST_CASE_METHOD(JobOrderTest, "JobOrder_roomForAll_makesNoDifference", "[load]")
{
    CHECK(play(turns(1, kPerSecond), 8 * kCores, ours).inTime == 1);
}

TEST_CASE("JobOrder_longRunning_comesBeforeAll", "[load]")
{
    CHECK(rankOf({.isLongRunning = true, .priority = 9}) < rankOf({.priority = 0, .workLeft = 1}));
}

TEST_CASE("JobOrder_priorities_comeBeforeWorth", "[load]")
{
    CHECK(rankOf({.priority = 0, .totalWork = 100, .workLeft = 100, .meanWork = 1})
          < rankOf({.priority = 1, .totalWork = 1, .workLeft = 1, .meanWork = 1}));
}

TEST_CASE("JobOrder_lateJob_comesAfterOneInTime", "[load]")
{
    const JobRankInputs inTime{
        .allowance = Millis(600), .totalWork = 9, .workLeft = 9, .meanWork = 1};
    JobRankInputs late = inTime;
    late.age = Millis(900);
    late.workLeft = 0.1;
    JobRankInputs useless = late;
    useless.age = Millis(9000);
    CHECK(rankOf(inTime) < rankOf(late));
    CHECK(rankOf(late) < rankOf(useless));
}

TEST_CASE("JobOrder_begunJob_comesBeforeOneLikeItThatIsNot", "[load]")
{
    const JobRankInputs fresh{
        .allowance = Millis(9000), .totalWork = 9, .workLeft = 9, .meanWork = 1};
    JobRankInputs begun = fresh;
    begun.workLeft = 4;
    CHECK(rankOf(begun) < rankOf(fresh));
}
