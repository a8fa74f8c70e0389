// Simulates a pool under bursts: the load of a queue alternates between four times its mean, more
// than its pool can process, and a twentieth of its mean.
#include "oleanderhall/scheduling/jobrank.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <random>
#include <vector>

using namespace oleanderhall;

namespace {

/// A simulated job, whose steps run one after another.
struct LoadJob
{
    double arrival = 0; // s
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

/// The result of a simulation, as shares between 0 and 1.
struct Served
{
    double value = 0; ///< Share of the value of all jobs; late but useful jobs count 7 %.
    double inTime = 0; ///< Finished within the objective.
    double largestInTime = 0; ///< Share of the largest tenth of the jobs that is in time.
    double useful = 0; ///< Finished within three times the objective.
};

using RankFunction = std::function<JobRank(const LoadJob &, double now, double meanWork)>;

JobRankInputs rankInputsOf(const LoadJob &job, double now, double meanWork)
{
    const auto millis = [](double seconds) {
        return Millis(static_cast<Millis::rep>(seconds * 1000));
    };
    return {.stretch = 1.6,
            .allowance = Millis(600),
            .age = millis(now - job.arrival),
            .criticalPath = millis(job.steps * job.length),
            .criticalPathLeft = millis((job.steps - job.stepsDone) * job.length),
            .totalWork = job.work(),
            .workLeft = (job.steps - job.stepsDone) * job.tasks * job.length * job.cores,
            .meanWork = meanWork};
}

JobRank firstCome(const LoadJob &job, double, double)
{
    return {.negatedValueDensity = job.arrival};
}
JobRank shortestFirst(const LoadJob &job, double, double)
{
    return {.negatedValueDensity = job.work()};
}
JobRank jobRank(const LoadJob &job, double now, double meanWork)
{
    return rankOf(rankInputsOf(job, now, meanWork));
}

/// Returns the jobs that arrive within 40 s, with a burst of 4.5 s every 18 s as in the users'
/// queues. The arrival rate is 4 * `perSecond` during a burst and 0.05 * `perSecond` otherwise.
std::vector<LoadJob> bursts(unsigned seed, double perSecond)
{
    std::mt19937 random(seed);
    std::lognormal_distribution<double> width(std::log(6.0), 0.6);
    std::uniform_real_distribution<double> uneven(0.5, 1.5);
    std::vector<LoadJob> jobs;
    double now = 0;
    while (now < 40) {
        const bool isBurst = std::fmod(now, 18) < 4.5;
        now += std::exponential_distribution<double>(perSecond * (isBurst ? 4.0 : 0.05))(random);
        LoadJob job{.arrival = now, .length = 0.8 * uneven(random), .cores = 3.5 * uneven(random)};
        job.tasks = std::clamp(static_cast<int>(width(random)), 1, 24);
        job.steps = random() % 5 < 3 ? 2 : 1;
        jobs.push_back(job);
    }
    return jobs;
}

/// Simulates the jobs in one pool of `cores` without preemption of tasks.
Served simulate(std::vector<LoadJob> jobs, double cores, const RankFunction &rank)
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
        for (std::size_t index = 0; index < jobs.size() && jobs[index].arrival <= now; ++index) {
            if (jobs[index].finished < 0 && jobs[index].startedInStep < jobs[index].tasks)
                waiting.emplace_back(rank(jobs[index], now, meanWork), index);
        }
        std::sort(waiting.begin(), waiting.end());
        for (const auto &[jobsRank, index] : waiting) {
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
    const double largeSize = sizes[sizes.size() * 9 / 10];
    Served served;
    double totalValue = 0;
    double largeJobs = 0;
    for (const LoadJob &job : jobs) {
        const double value = std::min(4.0, 0.3 + 0.7 * job.work() / meanWork);
        const double took = job.finished < 0 ? 1e9 : job.finished - job.arrival;
        const bool isInTime = took <= job.objective();
        const bool isUseful = took <= 3 * job.objective();
        totalValue += value;
        served.value += value * (isInTime ? 1 : isUseful ? 0.07 : 0);
        served.inTime += isInTime ? 1 : 0;
        served.useful += isUseful ? 1 : 0;
        if (job.work() >= largeSize) {
            largeJobs += 1;
            served.largestInTime += isInTime ? 1 : 0;
        }
    }
    served.value /= totalValue;
    served.inTime /= static_cast<double>(jobs.size());
    served.useful /= static_cast<double>(jobs.size());
    served.largestInTime /= largeJobs;
    return served;
}

class JobRankTest
{
protected:
    static constexpr double kCores = 512;
    static constexpr double kJobsPerSecond = 9;

    Served mean(const RankFunction &rank) const
    {
        constexpr int kSeeds = 5;
        Served sum;
        for (unsigned seed = 1; seed <= kSeeds; ++seed) {
            const Served one = simulate(bursts(seed, kJobsPerSecond), kCores, rank);
            sum.value += one.value / kSeeds;
            sum.inTime += one.inTime / kSeeds;
            sum.useful += one.useful / kSeeds;
            sum.largestInTime += one.largestInTime / kSeeds;
        }
        return sum;
    }
};

} // namespace

TEST_CASE_METHOD(JobRankTest, "JobRank_burstsOverloadThePool_earnsMoreThanFirstComeFirstServed",
                 "[load]")
{
    const Served policy = mean(jobRank);
    const Served baseline = mean(firstCome);
    INFO("JobRank " << policy.value << " of the value, in time " << policy.inTime
                    << "; first come first served " << baseline.value << ", " << baseline.inTime);
    CHECK(policy.value > baseline.value);
    CHECK(policy.inTime > baseline.inTime);
}

TEST_CASE_METHOD(JobRankTest,
                 "JobRank_burstsOverloadThePool_servesLargeJobsBetterThanShortestFirst", "[load]")
{
    const Served policy = mean(jobRank);
    const Served baseline = mean(shortestFirst);
    INFO("JobRank " << policy.value << ", largest in time " << policy.largestInTime << ", served "
                    << policy.useful << "; shortest first " << baseline.value << ", "
                    << baseline.largestInTime << ", " << baseline.useful);
    CHECK(policy.largestInTime >= baseline.largestInTime);
}

TEST_CASE_METHOD(JobRankTest, "JobRank_capacityForAllJobs_allAreInTime", "[load]")
{
    CHECK(simulate(bursts(1, kJobsPerSecond), 8 * kCores, jobRank).inTime == 1);
}

TEST_CASE("JobRank_longRunning_comesBeforeAll", "[load]")
{
    CHECK(rankOf({.isLongRunning = true, .priority = 9}) < rankOf({.priority = 0, .workLeft = 1}));
}

TEST_CASE("JobRank_priorities_comeBeforeValue", "[load]")
{
    CHECK(rankOf({.priority = 0, .totalWork = 100, .workLeft = 100, .meanWork = 1})
          < rankOf({.priority = 1, .totalWork = 1, .workLeft = 1, .meanWork = 1}));
}

TEST_CASE("JobRank_lateJob_comesAfterOneInTime", "[load]")
{
    const JobRankInputs inTime{
        .allowance = Millis(600), .totalWork = 9, .workLeft = 9, .meanWork = 1};
    JobRankInputs late = inTime;
    late.age = Millis(900);
    late.workLeft = 0.1;
    JobRankInputs expired = late;
    expired.age = Millis(9000);
    CHECK(rankOf(inTime) < rankOf(late));
    CHECK(rankOf(late) < rankOf(expired));
}

TEST_CASE("JobRank_startedJob_comesBeforeOneLikeItThatIsNot", "[load]")
{
    const JobRankInputs fresh{
        .allowance = Millis(9000), .totalWork = 9, .workLeft = 9, .meanWork = 1};
    JobRankInputs started = fresh;
    started.workLeft = 4;
    CHECK(rankOf(started) < rankOf(fresh));
}
