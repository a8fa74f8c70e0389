// Handling of worker status: active and ended runs, stalls and CPU limits.
#include "oleanderhall/scheduling/scheduler.h"

#include <algorithm>

namespace oleanderhall {

namespace {

/// The platform's limit of ended runs in one status; if it is reached, more may follow.
constexpr std::size_t kMaxEndsPerStatus = 500;
constexpr int kReadyPercent = 100;
// Runs on idle cores are slowed down before a serving run exceeds its latency target, and sped up
// again well below it. Both limits are shares of the target.
constexpr double kSlowDownAbove = 0.85;
constexpr double kSpeedUpBelow = 0.6;
constexpr int kSpeedUpStepPercent = 10;
constexpr int kMinCpuLimitPercent = 10; // a lower limit becomes 0
constexpr Millis kCpuLimitInterval{500}; // a worker reports the load of the last half second

} // namespace

void Scheduler::handleStatus(WorkerState &worker, const WorkerStatus &status, Instant sent,
                             Instant now)
{
    worker.clock.update(status.clock, now);
    // The unreadable runs may be of tasks that an earlier owner has started.
    if (!worker.isSynced && !status.hasUnreadableActiveRuns) {
        worker.isSynced = true;
        // An earlier owner may have extended leases until now.
        worker.clock.recordGranted(status.clock
                                   + (worker.restartedAt == Instant{} ? m_settings.workerLease
                                                                      : m_settings.maxWorkerLease));
        // A run that the earlier owner has stopped is listed until the stop is complete.
        worker.distrustedUntil = std::max(worker.distrustedUntil, now + m_settings.stopTimeout);
        m_needsPlacement = true;
    }
    worker.statusSent = std::max(worker.statusSent, sent);
    for (const EndedRun &ended : status.ended)
        handleEndedRun(worker, ended, now);
    for (const ActiveRun &reported : status.running)
        handleActiveRun(worker, reported, now);
    const auto isReported = [&](const WorkerRun &run) {
        return std::any_of(status.running.begin(), status.running.end(),
                           [&](const ActiveRun &reported) {
                               return reported.task == run.task && reported.run == run.run;
                           });
    };
    const bool isComplete = status.ended.size() < kMaxEndsPerStatus
        && !status.hasUnreadableActiveRuns;
    for (std::size_t index = 0; isComplete && index < worker.runs.size();) {
        const WorkerRun &run = worker.runs[index];
        const bool isGone = ((run.phase == WorkerRun::Phase::Running && run.runningSince < sent)
                             || (run.phase == WorkerRun::Phase::Stopping && run.isStopConfirmed
                                 && run.stopConfirmedAt < sent))
            && !isReported(run);
        if (!isGone) {
            ++index;
            continue;
        }
        const WorkerRun ended = run;
        removeRun(worker, index);
        unplace(ended, now);
    }
    if (isComplete)
        stopAbandonedStarts(worker, sent, now);
    for (WorkerRun &run : worker.runs)
        noteOverdueRun(worker, run, now);
    stopStalledRuns(worker, now);
    adjustCpuLimits(worker, now);
    const bool hasNewEnds = !status.ended.empty();
    worker.nextPoll = hasNewEnds ? now + m_settings.pollSpacing : now;
    // The worker may answer at once as long as it has ends that can't be acknowledged.
    if (status.hasUnreadableActiveRuns || status.hasUnreadableEnds)
        worker.nextPoll = now + m_settings.commandRetryDelay;
}

/// Stops the runs whose start was given up before the poll of this status was sent at `sent`, and
/// which the status doesn't list.
void Scheduler::stopAbandonedStarts(WorkerState &worker, Instant sent, Instant now)
{
    for (WorkerRun &run : worker.runs) {
        if (run.phase == WorkerRun::Phase::Starting && run.startAbandonedAt != Instant{}
            && run.startAbandonedAt <= sent)
            requestStop(run, now);
    }
}

void Scheduler::handleActiveRun(WorkerState &worker, const ActiveRun &reported, Instant now)
{
    WorkerRun *known = findRun(worker, reported.task, reported.run);
    // The job of a run that isn't being stopped was known when its run was reported first.
    if (!known || !known->isReported || known->phase == WorkerRun::Phase::Stopping)
        noteBegun(reported.task, now);
    if (known) {
        if (known->phase == WorkerRun::Phase::Starting) {
            known->phase = WorkerRun::Phase::Running;
            known->runningSince = now;
            known->lastProgress = now;
        }
        known->isReported = true;
        if (reported.progressPercent != known->progressPercent)
            known->lastProgress = now;
        known->progressPercent = reported.progressPercent;
        known->checkpoint = reported.checkpoint;
        known->recentLoad = reported.recentLoad;
        updateSuspicion(*known, now);
        return;
    }
    const StepSpec *spec = findSpec(reported.task);
    const auto job = m_jobs.find(reported.task.job);
    TrackedTask *task = findTask(reported.task);
    WorkerRun run{.task = reported.task, .run = reported.run};
    run.phase = WorkerRun::Phase::Running;
    run.isReported = true;
    run.runningSince = now;
    run.lastProgress = now;
    run.progressPercent = reported.progressPercent;
    run.checkpoint = reported.checkpoint;
    run.recentLoad = reported.recentLoad;
    run.isNeedUnknown = !spec;
    if (spec) {
        if (job != m_jobs.end())
            run.expectedRunTime = m_runTimes.expected(job->second.spec.queue.name, *spec);
        run.reservation = spec->need;
        run.usesIdleCores = spec->usesIdleCores;
        run.isLongRunning = spec->isLongRunning;
        run.latencyTarget = spec->latencyTarget;
        run.allowsCopies = allowsCopies(*spec);
        run.showsSpeed = showsSpeed(*spec);
        if (run.usesIdleCores)
            run.reservation.milliCores = 0;
    }
    if (job != m_jobs.end()) {
        run.team = job->second.spec.team;
        run.need = spec ? spec->need : job->second.inheritedRunning;
    }
    const bool isWanted = task && job != m_jobs.end() && !isFinal(job->second.state)
        && !task->isDone && !task->isPlaced && !task->hasEnded(reported.run);
    if (isWanted) {
        task->isPlaced = true;
        task->worker = worker.info.id;
        task->currentRun = reported.run;
        task->lastRun = std::max(task->lastRun, reported.run);
        TrackedStep *step = findStep(reported.task);
        ++step->placedTasks;
        step->lastGangRun = std::max(step->lastGangRun, reported.run);
        run.isIsolated = isSuspected(*task) && mayCrashWorker(run);
        if (job->second.state == JobState::Queued)
            job->second.state = JobState::Running;
    } else if (task && spec && job != m_jobs.end() && !task->hasEnded(reported.run)
               && task->worker != worker.info.id && mayRunTwice(job->second, *spec, *task)) {
        trackCopy(*task, run, worker.info.id);
    } else {
        logDecision({"stray_run_stopped",
                     {{"task", textOf(reported.task)},
                      {"run", std::to_string(reported.run)},
                      {"worker", worker.info.id.name()}},
                     true});
        requestStop(run, now);
    }
    addRun(worker, std::move(run));
}

void Scheduler::handleEndedRun(WorkerState &worker, const EndedRun &ended, Instant now)
{
    if (ended.sequence <= worker.lastHandledEnd)
        return;
    worker.lastHandledEnd = ended.sequence;
    noteBegun(ended.task, now);
    WorkerRun known;
    if (const WorkerRun *run = findRun(worker, ended.task, ended.run)) {
        known = *run;
        removeRun(worker, static_cast<std::size_t>(run - worker.runs.data()));
        unplace(known, now);
    }
    const auto found = m_jobs.find(ended.task.job);
    TrackedTask *task = findTask(ended.task);
    if (found == m_jobs.end() || !task || isFinal(found->second.state))
        return;
    TrackedJob &job = found->second;
    if (task->isDone || task->hasEnded(ended.run))
        return;
    const StepSpec &spec = job.spec.steps[static_cast<std::size_t>(ended.task.step)];
    if (!spec.isLongRunning)
        task->endedRuns.push_back(ended.run);
    task->lastRun = std::max(task->lastRun, ended.run);
    if (!ended.checkpoint.empty())
        task->checkpoint = ended.checkpoint;
    logDecision({"run_ended",
                 {{"task", textOf(ended.task)},
                  {"run", std::to_string(ended.run)},
                  {"worker", worker.info.id.name()},
                  {"end", std::to_string(static_cast<int>(ended.runOutcome))}}});
    if (ended.runOutcome == RunOutcome::Done && !spec.isLongRunning) {
        TrackedStep &step = *findStep(ended.task);
        for (TrackedTask &member : step.tasks) {
            if (!member.isDone && (&member == task || spec.isGang)) {
                member.isDone = true;
                ++step.doneTasks;
            }
        }
        if (spec.isGang && task->isPlaced) {
            for (WorkerState *other : holdersOf(ended.task.job)) {
                for (WorkerRun &run : other->runs) {
                    if (run.task == ended.task)
                        requestStop(run, now);
                }
            }
        } else {
            endOtherRun(ended.task, *task, now);
        }
        if (known.runningSince != Instant{}) {
            observeRunTime(worker, known, step, now);
            m_runTimes.observe(job.spec.queue.name, spec.estimate,
                               std::chrono::duration_cast<Millis>(now - known.runningSince));
        }
        worker.lastFailedJob = {};
        worker.timesAvoided = 0;
        if (step.isComplete())
            noteTasksToStart(job.spec.id); // of the steps that depend on it
        m_needsPlacement = true;
        markDirty(job);
        finishIfComplete(job, now);
        return;
    }
    if (spec.isLongRunning)
        return; // restarted without limit, so there is nothing to record
    markDirty(job);
    if (ended.runOutcome == RunOutcome::Failed)
        handleFailure(worker, job, *task, ended.task, now);
}

void Scheduler::handleFailure(WorkerState &worker, TrackedJob &job, TrackedTask &task,
                              const TaskId &id, Instant now)
{
    const StepSpec &spec = job.spec.steps[static_cast<std::size_t>(id.step)];
    ++task.failures;
    task.failedOn.push_back(worker.info.id);
    int failures = task.failures;
    if (spec.isGang) {
        TrackedStep &step = *findStep(id);
        failures = ++step.gangFailures;
    }
    if (worker.lastFailedJob.value != 0 && worker.lastFailedJob != job.spec.id)
        avoid(worker, "runs of two jobs failed in a row", now);
    worker.lastFailedJob = job.spec.id;
    if (failures >= job.spec.queue.maxAttempts)
        finish(job, JobState::Failed, now);
}

void Scheduler::stopStalledRuns(WorkerState &worker, Instant now)
{
    for (WorkerRun &run : worker.runs) {
        if (run.phase != WorkerRun::Phase::Running || run.isLongRunning
            || run.progressPercent >= kReadyPercent
            || now - run.lastProgress < m_settings.stallTimeout)
            continue;
        const StepSpec *spec = findSpec(run.task);
        const auto job = m_jobs.find(run.task.job);
        if (!spec || job == m_jobs.end() || spec->isGang)
            continue;
        // Progress is reported in whole percent, so that of a long task may stay the same
        // for a while: 4 % of the expected run time is allowed in addition.
        constexpr int kExpectedTimeDivisor = 25;
        const Millis expected = m_runTimes.expected(job->second.spec.queue.name, *spec);
        if (now - run.lastProgress < expected / kExpectedTimeDivisor + m_settings.stallTimeout)
            continue;
        logDecision({"run_stalled",
                     {{"task", textOf(run.task)},
                      {"worker", worker.info.id.name()},
                      {"percent", std::to_string(run.progressPercent)}},
                     true});
        requestStop(run, now);
        if (TrackedTask *task = findTask(run.task))
            task->failedOn.push_back(worker.info.id);
        avoid(worker, "a run made no progress", now);
    }
}

void Scheduler::adjustCpuLimits(WorkerState &worker, Instant now)
{
    double worst = 0; // highest tail latency of a serving run, as a share of its target
    bool hasIdleCoreRuns = false;
    for (const WorkerRun &run : worker.runs) {
        hasIdleCoreRuns = hasIdleCoreRuns || run.usesIdleCores;
        if (run.latencyTarget.count() > 0 && run.phase == WorkerRun::Phase::Running)
            worst = std::max(worst,
                             static_cast<double>(run.recentLoad)
                                 / static_cast<double>(run.latencyTarget.count()));
    }
    if (!hasIdleCoreRuns || now < worker.nextCpuLimitChange
        || (worst <= kSlowDownAbove && worst >= kSpeedUpBelow))
        return;
    worker.nextCpuLimitChange = now + kCpuLimitInterval;
    for (WorkerRun &run : worker.runs) {
        if (!run.usesIdleCores)
            continue;
        const int slower = run.targetCpuLimitPercent / 2 < kMinCpuLimitPercent
            ? 0
            : run.targetCpuLimitPercent / 2;
        const int faster = std::min(100, run.targetCpuLimitPercent + kSpeedUpStepPercent);
        run.targetCpuLimitPercent = worst > kSlowDownAbove ? slower : faster;
    }
}

} // namespace oleanderhall
