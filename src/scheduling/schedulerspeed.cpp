// The speed of workers, from the run times of tasks there. Slow workers are used last.
#include "oleanderhall/scheduling/scheduler.h"

#include <algorithm>

namespace oleanderhall {

namespace {

/// Run times of equal workers differ by up to a third, and estimates are inaccurate.
constexpr double kTolerance = 1.5;
/// Score per unit of slowness: a worker five times slower scores less than one without the data.
constexpr double kSlownessPenalty = 40;
/// A run is overdue after this many times its typical run time, and again each time that doubles.
constexpr double kOverdueFactor = 2;

} // namespace

/// Returns whether the run time of the step's tasks depends on the speed of their worker alone.
bool Scheduler::showsSpeed(const StepSpec &spec)
{
    return !spec.isGang && !spec.isLongRunning && !spec.usesIdleCores;
}

double Scheduler::slownessPenalty(const WorkerState &worker, Instant now)
{
    if (!worker.speed.mayExceed(kTolerance))
        return 0;
    return kSlownessPenalty * std::max(0.0, worker.speed.slowness(now) - kTolerance);
}

bool Scheduler::isSlow(const WorkerState &worker, Instant now)
{
    return worker.speed.slowness(now) >= kOverdueFactor;
}

/// Records that a run took, or has taken so far, `ratio` times its typical run time.
void Scheduler::observeSpeed(WorkerState &worker, double ratio, Instant now)
{
    const bool wasSlow = isSlow(worker, now);
    worker.speed.observe(ratio, now);
    if (isSlow(worker, now) == wasSlow)
        return;
    logDecision({wasSlow ? "worker_no_longer_slow" : "worker_slow",
                 {{"worker", worker.info.id.name()},
                  {"slowness", std::to_string(worker.speed.slowness(now))}},
                 !wasSlow});
}

/// Records the run time of a task that was done, for the worker and for the task's peers.
void Scheduler::observeRunTime(WorkerState &worker, const WorkerRun &run, TrackedStep &step,
                               Instant now)
{
    const std::chrono::duration<double, std::milli> runTime = now - run.runningSince;
    if (run.showsSpeed)
        observeSpeed(worker, runTime.count() / typicalRunTimeMs(run, step), now);
    step.totalRunTimeMs += runTime.count();
    ++step.timedTasks;
}

/// Records a run that is overdue, because a slow worker's first ends come late.
void Scheduler::noteOverdueRun(WorkerState &worker, WorkerRun &run, Instant now)
{
    // The last condition spares the search for the step of most runs.
    if (!run.showsSpeed || run.runningSince == Instant{}
        || now - run.runningSince < run.expectedRunTime)
        return;
    const std::chrono::duration<double, std::milli> elapsed = now - run.runningSince;
    const TrackedStep *step = findStep(run.task);
    if (!step)
        return;
    const double ratio = elapsed.count() / typicalRunTimeMs(run, *step);
    if (ratio < kOverdueFactor * std::max(1.0, run.notedSlowness))
        return;
    run.notedSlowness = ratio;
    observeSpeed(worker, ratio, now);
}

} // namespace oleanderhall
