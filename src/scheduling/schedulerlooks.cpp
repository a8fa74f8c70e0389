// What the Scheduler learns from what runs and has ended at workers.
#include "oleanderhall/scheduling/scheduler.h"

#include <algorithm>

namespace oleanderhall {

namespace {

/// The most ends that a worker lists in one answer (the platform's word); more may follow.
constexpr std::size_t kEndsPerLook = 500;
constexpr int kAtWork = 100; // percent
// Filling runs are slowed before the target is passed and sped up again well below it.
constexpr double kPaceDownAt = 0.85;
constexpr double kPaceUpBelow = 0.6;
constexpr int kPaceUpStep = 10;
constexpr int kPaceFloor = 10;
constexpr Millis kPaceSpacing{500}; // the worker's figure covers the last half second

} // namespace

void Scheduler::takeLook(WorkerState &worker, const WorkerLook &look, Instant sent, Instant now)
{
    worker.clock.hear(look.clock, now);
    if (!worker.isRead) {
        worker.isRead = true;
        // An earlier owner's leases may run on for as long as any lease.
        worker.clock.grant(look.clock + m_settings.workerLease);
        m_hasChanged = true;
    }
    std::set<std::pair<TaskId, std::int64_t>> present;
    for (const RunningTask &row : look.running)
        present.emplace(row.task, row.run);
    for (const EndedTask &ended : look.ended)
        takeEnd(worker, ended, now);
    for (const RunningTask &row : look.running)
        takeRunning(worker, row, now);
    const bool isWhole = look.ended.size() < kEndsPerLook;
    for (std::size_t index = 0; isWhole && index < worker.runs.size();) {
        const WorkerRun run = worker.runs[index];
        const bool isGone = !present.contains({run.task, run.run})
            && ((run.phase == WorkerRun::Phase::Running && run.confirmed < sent)
                || (run.phase == WorkerRun::Phase::Stopping && run.isStopConfirmed
                    && run.stopConfirmed < sent));
        if (!isGone) {
            ++index;
            continue;
        }
        removeRun(worker, index);
        release(run, now);
    }
    findStalls(worker, now);
    controlPace(worker, now);
    const bool hasNewEnds = !look.ended.empty();
    worker.lookDue = hasNewEnds ? now + m_settings.lookSpacing : now;
}

void Scheduler::takeRunning(WorkerState &worker, const RunningTask &row, Instant now)
{
    if (WorkerRun *known = findRun(worker, row.task, row.run)) {
        if (known->phase == WorkerRun::Phase::Starting) {
            known->phase = WorkerRun::Phase::Running;
            known->confirmed = now;
            known->progressed = now;
        }
        if (row.percent != known->percent)
            known->progressed = now;
        known->percent = row.percent;
        known->checkpoint = row.checkpoint;
        known->recentLoad = row.recentLoad;
        return;
    }
    const StepSpec *spec = findSpec(row.task);
    const auto job = m_jobs.find(row.task.job);
    TaskRun *task = findTask(row.task);
    WorkerRun run{.task = row.task, .run = row.run};
    run.phase = WorkerRun::Phase::Running;
    run.confirmed = now;
    run.progressed = now;
    run.percent = row.percent;
    run.checkpoint = row.checkpoint;
    run.recentLoad = row.recentLoad;
    if (spec) {
        run.need = spec->need;
        run.fills = spec->usesIdleCores;
        run.isLongRunning = spec->isLongRunning;
        run.latencyTarget = spec->latencyTarget;
        if (run.fills)
            run.need.milliCores = 0;
    }
    const bool isWanted = task && job != m_jobs.end() && !isFinal(job->second.state)
        && !task->isDone && !task->isPlaced && !task->hasEnded(row.run);
    if (isWanted) {
        task->isPlaced = true;
        task->worker = worker.report.id;
        task->lastRun = std::max(task->lastRun, row.run);
        StepRun *step = findStep(row.task);
        ++step->placed;
        step->gangRun = std::max(step->gangRun, row.run);
        if (job->second.state == JobState::Queued)
            job->second.state = JobState::Running;
    } else {
        decided({"stray_run_stopped",
                 {{"task", textOf(row.task)},
                  {"run", std::to_string(row.run)},
                  {"worker", worker.report.id.name()}},
                 true});
        requestStop(run, now);
    }
    worker.used += run.need;
    worker.runs.push_back(std::move(run));
}

void Scheduler::takeEnd(WorkerState &worker, const EndedTask &ended, Instant now)
{
    if (ended.number <= worker.noted)
        return;
    worker.noted = ended.number;
    Instant confirmed{};
    if (WorkerRun *run = findRun(worker, ended.task, ended.run)) {
        const WorkerRun copy = *run;
        confirmed = copy.confirmed;
        removeRun(worker, static_cast<std::size_t>(run - worker.runs.data()));
        release(copy, now);
    }
    const auto found = m_jobs.find(ended.task.job);
    TaskRun *task = findTask(ended.task);
    if (found == m_jobs.end() || !task || isFinal(found->second.state))
        return;
    JobRun &job = found->second;
    if (task->isDone || task->hasEnded(ended.run))
        return;
    const StepSpec &spec = job.spec.steps[static_cast<std::size_t>(ended.task.step)];
    if (!spec.isLongRunning)
        task->endedRuns.push_back(ended.run);
    task->lastRun = std::max(task->lastRun, ended.run);
    if (!ended.checkpoint.empty())
        task->checkpoint = ended.checkpoint;
    decided({"run_ended",
             {{"task", textOf(ended.task)},
              {"run", std::to_string(ended.run)},
              {"worker", worker.report.id.name()},
              {"end", std::to_string(static_cast<int>(ended.end))}}});
    if (ended.end == RunEnd::Done && !spec.isLongRunning) {
        StepRun &step = *findStep(ended.task);
        for (TaskRun &member : step.tasks) {
            if (!member.isDone && (&member == task || spec.isGang)) {
                member.isDone = true;
                ++step.done;
            }
        }
        if (task->isPlaced) {
            for (auto &[id, other] : m_workers) {
                for (WorkerRun &run : other.runs) {
                    if (run.task == ended.task)
                        requestStop(run, now);
                }
            }
        }
        if (confirmed != Instant{})
            m_runTimes.observe(job.spec.queue.name, spec.estimate,
                               std::chrono::duration_cast<Millis>(now - confirmed));
        worker.lastFailedJob = {};
        worker.relapses = 0;
        m_hasChanged = true;
        makeDirty(job);
        finishIfComplete(job, now);
        return;
    }
    if (spec.isLongRunning)
        return; // started again without limit; nothing needs to last
    makeDirty(job);
    if (ended.end == RunEnd::Failed)
        noteFailure(worker, job, *task, ended.task, now);
}

void Scheduler::noteFailure(WorkerState &worker, JobRun &job, TaskRun &task, const TaskId &id,
                            Instant now)
{
    const StepSpec &spec = job.spec.steps[static_cast<std::size_t>(id.step)];
    ++task.failures;
    task.failedOn.push_back(worker.report.id);
    int failures = task.failures;
    if (spec.isGang) {
        StepRun &step = *findStep(id);
        failures = ++step.gangFailures;
    }
    if (worker.lastFailedJob.value != 0 && worker.lastFailedJob != job.spec.id)
        avoid(worker, "runs of two jobs failed in a row", now);
    worker.lastFailedJob = job.spec.id;
    if (failures >= job.spec.queue.maxAttempts)
        finish(job, JobState::Failed, now);
}

void Scheduler::findStalls(WorkerState &worker, Instant now)
{
    for (WorkerRun &run : worker.runs) {
        if (run.phase != WorkerRun::Phase::Running || run.isLongRunning || run.percent >= kAtWork
            || now - run.progressed < m_settings.stallTime)
            continue;
        const StepSpec *spec = findSpec(run.task);
        const auto job = m_jobs.find(run.task.job);
        if (!spec || job == m_jobs.end() || spec->isGang)
            continue;
        // Progress comes in whole percents: a long task may take a while for one.
        constexpr int kPercents = 25;
        const Millis expected = m_runTimes.expected(job->second.spec.queue.name, *spec);
        if (now - run.progressed < expected / kPercents + m_settings.stallTime)
            continue;
        decided({"run_stalled",
                 {{"task", textOf(run.task)},
                  {"worker", worker.report.id.name()},
                  {"percent", std::to_string(run.percent)}},
                 true});
        requestStop(run, now);
        if (TaskRun *task = findTask(run.task))
            task->failedOn.push_back(worker.report.id);
        avoid(worker, "a run stood still", now);
    }
}

void Scheduler::controlPace(WorkerState &worker, Instant now)
{
    double worst = 0; // tail latency of a serving run, as a share of its target
    bool hasFill = false;
    for (const WorkerRun &run : worker.runs) {
        hasFill = hasFill || run.fills;
        if (run.latencyTarget.count() > 0 && run.phase == WorkerRun::Phase::Running)
            worst = std::max(worst,
                             static_cast<double>(run.recentLoad)
                                 / static_cast<double>(run.latencyTarget.count()));
    }
    if (!hasFill || now < worker.paceDue || (worst <= kPaceDownAt && worst >= kPaceUpBelow))
        return;
    worker.paceDue = now + kPaceSpacing;
    for (WorkerRun &run : worker.runs) {
        if (!run.fills)
            continue;
        const int slower = run.wantedPace / 2 < kPaceFloor ? 0 : run.wantedPace / 2;
        const int faster = std::min(100, run.wantedPace + kPaceUpStep);
        run.wantedPace = worst > kPaceDownAt ? slower : faster;
    }
}

} // namespace oleanderhall
