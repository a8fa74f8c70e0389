// Which waiting task runs next, and on which worker.
#include "oleanderhall/scheduling/scheduler.h"

#include <algorithm>
#include <cmath>

namespace oleanderhall {

namespace {

constexpr std::int64_t kRunsPerGeneration = 1000;
constexpr std::size_t kMaxRefusedSteps = 40; // a full pool is not searched to the end
constexpr double kMilliPerUnit = 1000;
constexpr std::size_t kReleaseAhead = 12; // jobs of a pool; more wait longer after a take-over
constexpr std::size_t kAdvicePerCall = 12; // asking costs time for each worker named

double seconds(Millis time)
{
    return static_cast<double>(time.count()) / kMilliPerUnit;
}

double coreSeconds(const StepSpec &step, Millis perTask)
{
    return static_cast<double>(step.need.milliCores) / kMilliPerUnit * seconds(perTask);
}

} // namespace

std::int64_t Scheduler::nextRun(std::int64_t last) const
{
    return std::max(last + 1, m_generation * kRunsPerGeneration + 1);
}

bool Scheduler::isReady(const JobRun &job, const Occurrence &occurrence, int step) const
{
    const auto &after = job.spec.steps[static_cast<std::size_t>(step)].after;
    return std::all_of(after.begin(), after.end(), [&](int earlier) {
        return occurrence.steps[static_cast<std::size_t>(earlier)].isComplete();
    });
}

bool Scheduler::mayStart(const JobRun &job, const TaskRun &task, Instant now) const
{
    if (task.isDone || task.isPlaced)
        return false;
    return !task.mayRunUnseen || now - m_begun >= m_settings.inheritedWait
        || isRead(job.spec.queue.service);
}

Millis Scheduler::remainingChain(const JobRun &job, const Occurrence &occurrence) const
{
    std::vector<Millis> ends(job.spec.steps.size(), Millis(0));
    Millis longest{0};
    for (std::size_t step = 0; step < job.spec.steps.size(); ++step) {
        const StepSpec &spec = job.spec.steps[step];
        Millis begin{0};
        for (const int earlier : spec.after)
            begin = std::max(begin, ends[static_cast<std::size_t>(earlier)]);
        const bool isDone = occurrence.steps[step].isComplete();
        ends[step] = begin + (isDone ? Millis(0) : m_runTimes.expected(job.spec.queue.name, spec));
        longest = std::max(longest, ends[step]);
    }
    return longest;
}

double Scheduler::remainingWork(const JobRun &job, const Occurrence &occurrence) const
{
    double work = 0;
    for (std::size_t step = 0; step < job.spec.steps.size(); ++step) {
        const StepSpec &spec = job.spec.steps[step];
        const auto left = static_cast<double>(spec.count - occurrence.steps[step].done);
        work += left * coreSeconds(spec, m_runTimes.expected(job.spec.queue.name, spec));
    }
    return work;
}

JobFacts Scheduler::factsOf(const JobRun &job, const Occurrence &occurrence, Instant now) const
{
    JobFacts facts{.isLongRunning = job.isLongRunning(),
                   .priority = job.spec.queue.priority,
                   .stretch = job.spec.queue.stretch,
                   .allowance = job.spec.queue.allowance};
    if (facts.isLongRunning)
        return facts;
    Occurrence untouched;
    untouched.steps.resize(job.spec.steps.size());
    for (StepRun &step : untouched.steps)
        step.tasks.resize(1); // a step that is not complete
    facts.age = std::chrono::duration_cast<Millis>(now - job.accepted);
    facts.wholeChain = remainingChain(job, untouched);
    facts.chainLeft = remainingChain(job, occurrence);
    facts.wholeWork = remainingWork(job, untouched);
    facts.workLeft = remainingWork(job, occurrence);
    facts.meanWork = m_runTimes.meanWork(job.spec.queue.name);
    return facts;
}

std::vector<Scheduler::Candidate> Scheduler::candidates(ServiceId pool, Instant now)
{
    std::vector<Candidate> result;
    for (const JobId id : m_active) {
        JobRun &job = m_jobs.at(id);
        if (job.spec.queue.service != pool)
            continue;
        for (Occurrence &occurrence : job.occurrences) {
            for (int step = 0; step < static_cast<int>(occurrence.steps.size()); ++step) {
                const StepRun &run = occurrence.steps[static_cast<std::size_t>(step)];
                if (run.done + run.placed >= static_cast<int>(run.tasks.size())
                    || !isReady(job, occurrence, step))
                    continue;
                result.push_back({.job = &job,
                                  .occurrence = &occurrence,
                                  .step = step,
                                  .rank = rankOf(factsOf(job, occurrence, now))});
            }
        }
    }
    std::stable_sort(result.begin(), result.end(),
                     [](const Candidate &a, const Candidate &b) { return a.rank < b.rank; });
    return result;
}

void Scheduler::place(Instant now, std::vector<SchedulerAction> &out)
{
    constexpr Millis kPlaceAtLeast{100}; // times pass even when nothing else changes
    if (!m_hasChanged && now - m_placed < kPlaceAtLeast)
        return;
    m_hasChanged = false;
    m_placed = now;
    std::set<ServiceId> busy;
    for (const JobId id : m_active)
        busy.insert(m_jobs.at(id).spec.queue.service);
    // While the window is full, the pools take turns.
    std::vector<ServiceId> pools(busy.lower_bound(m_firstPool), busy.end());
    pools.insert(pools.end(), busy.begin(), busy.lower_bound(m_firstPool));
    for (auto pool = pools.begin(); pool != pools.end(); ++pool) {
        placePool(*pool, now, out);
        if (!m_startWindow.isOpen()) {
            m_firstPool = pool + 1 == pools.end() ? pools.front() : *(pool + 1);
            m_hasChanged = true;
            return;
        }
    }
}

void Scheduler::placePool(ServiceId pool, Instant now, std::vector<SchedulerAction> &out)
{
    std::size_t refused = 0;
    std::size_t releasing = 0;
    for (const Candidate &candidate : candidates(pool, now)) {
        JobRun &job = *candidate.job;
        if (!job.mayStart) {
            // The next in order are released ahead of the room for them.
            if (++releasing > kReleaseAhead)
                break;
            if (!job.isReleased) {
                job.isReleased = true;
                makeDirty(job);
            }
            continue;
        }
        if (!m_startWindow.isOpen())
            break;
        const std::size_t before = out.size();
        placeStep(candidate, now, out);
        if (out.size() == before && ++refused >= kMaxRefusedSteps)
            break;
    }
}

void Scheduler::placeStep(const Candidate &candidate, Instant now,
                          std::vector<SchedulerAction> &out)
{
    JobRun &job = *candidate.job;
    const StepSpec &spec = job.spec.steps[static_cast<std::size_t>(candidate.step)];
    StepRun &step = candidate.occurrence->steps[static_cast<std::size_t>(candidate.step)];
    if (job.spec.queue.advice)
        askAdvice(candidate, now, out);
    if (spec.isGang) {
        placeGang(job, *candidate.occurrence, candidate.step, now, out);
        return;
    }
    for (int index = 0; index < static_cast<int>(step.tasks.size()); ++index) {
        if (!m_startWindow.isOpen())
            return;
        if (!mayStart(job, step.tasks[static_cast<std::size_t>(index)], now))
            continue;
        if (!placeTask(job, *candidate.occurrence, candidate.step, index, now, out))
            return;
    }
}

/// Asks for tickets for workers with room when the step holds none that is valid.
void Scheduler::askAdvice(const Candidate &candidate, Instant now,
                          std::vector<SchedulerAction> &out)
{
    const JobRun &job = *candidate.job;
    const Tickets::Step key{job.spec.id, candidate.occurrence->number, candidate.step};
    if (m_tickets.isAsking(key))
        return;
    const StepSpec &spec = job.spec.steps[static_cast<std::size_t>(candidate.step)];
    AdviceOrder order{.job = key.job, .occurrence = key.occurrence, .step = key.step};
    for (const auto &[id, worker] : m_workers) {
        if (worker.report.pool != job.spec.queue.service || !worker.takesNew(now)
            || !spec.need.fitsInto(worker.room()) || m_tickets.isDenied(key, id))
            continue;
        if (!m_tickets.find(key, id, now).empty())
            return; // enough to go on with
        if (order.workers.size() < kAdvicePerCall)
            order.workers.push_back(id);
    }
    if (order.workers.empty())
        return;
    m_tickets.ask(key);
    out.emplace_back(std::move(order));
}

bool Scheduler::placeTask(JobRun &job, Occurrence &occurrence, int step, int index, Instant now,
                          std::vector<SchedulerAction> &out)
{
    TaskRun &task = occurrence.steps[static_cast<std::size_t>(step)]
                        .tasks[static_cast<std::size_t>(index)];
    WorkerState *worker = chooseWorker(job, occurrence, step, task, now);
    if (!worker)
        return false;
    const TaskId id{job.spec.id, occurrence.number, step, index};
    startRun(*worker, job, id, nextRun(task.lastRun), now, out);
    return true;
}

void Scheduler::placeGang(JobRun &job, Occurrence &occurrence, int step, Instant now,
                          std::vector<SchedulerAction> &out)
{
    StepRun &run = occurrence.steps[static_cast<std::size_t>(step)];
    if (run.placed > 0)
        return; // the whole gang starts together, once every earlier member is gone
    std::int64_t next = run.gangRun;
    std::string checkpoint;
    for (const TaskRun &task : run.tasks) {
        if (!mayStart(job, task, now))
            return;
        next = std::max(next, task.lastRun);
        checkpoint = std::max(checkpoint, task.checkpoint);
    }
    next = nextRun(next);
    // Members are placed one by one on trial; without room for all, none is started.
    std::vector<SchedulerAction> orders;
    for (int index = 0; index < static_cast<int>(run.tasks.size()); ++index) {
        TaskRun &task = run.tasks[static_cast<std::size_t>(index)];
        task.checkpoint = checkpoint;
        WorkerState *worker = chooseWorker(job, occurrence, step, task, now);
        if (!worker) {
            for (const SchedulerAction &order : orders) {
                const auto &start = std::get<StartOrder>(order);
                WorkerState &holder = m_workers.at(start.worker);
                WorkerRun *placed = findRun(holder, start.task, start.run);
                const WorkerRun ended = *placed;
                removeRun(holder, static_cast<std::size_t>(placed - holder.runs.data()));
                release(ended, now);
                m_startWindow.withdrawn();
            }
            m_hasChanged = false;
            return;
        }
        startRun(*worker, job, {job.spec.id, occurrence.number, step, index}, next, now, orders);
    }
    run.gangRun = next;
    std::move(orders.begin(), orders.end(), std::back_inserter(out));
}

WorkerState *Scheduler::chooseWorker(const JobRun &job, const Occurrence &occurrence, int step,
                                     const TaskRun &task, Instant now)
{
    const StepSpec &spec = job.spec.steps[static_cast<std::size_t>(step)];
    Resources need = spec.need;
    if (spec.usesIdleCores)
        need.milliCores = 0;
    WorkerState *best = nullptr;
    double bestScore = 0;
    for (auto &[id, worker] : m_workers) {
        if (worker.report.pool != job.spec.queue.service || !worker.takesNew(now)
            || !need.fitsInto(worker.room())
            || (!spec.requiredLabel.empty() && !worker.report.hasLabel(spec.requiredLabel)))
            continue;
        if (job.spec.queue.advice
            && m_tickets.find({job.spec.id, occurrence.number, step}, id, now).empty())
            continue;
        int alike = 0;
        int serving = 0;
        int filling = 0;
        for (const WorkerRun &run : worker.runs) {
            if (run.task.job == job.spec.id && run.task.occurrence == occurrence.number
                && run.task.step == step)
                ++alike;
            serving += run.latencyTarget.count() > 0 ? 1 : 0;
            filling += run.fills ? 1 : 0;
        }
        if (spec.maxPerWorker > 0 && alike >= spec.maxPerWorker)
            continue;
        // Higher is better: not where it failed, near its data, then packed tightly.
        double score = 0;
        if (std::find(task.failedOn.begin(), task.failedOn.end(), id) != task.failedOn.end())
            score -= 1000;
        if (!spec.dataRack.empty() && worker.report.hasLabel(spec.dataRack))
            score += 100;
        if (spec.isLongRunning && m_dueSoon.contains(id))
            score -= 50;
        if (spec.isLongRunning && spec.maxDisrupted >= 0)
            score -= 30.0 * std::max(0, alike - 1); // a lost host should not take most of them
        const auto capacity = static_cast<double>(
            std::max<std::int64_t>(worker.report.capacity.milliCores, 1));
        const double free = static_cast<double>(worker.room().milliCores) / capacity;
        if (spec.usesIdleCores)
            score += 10.0 * free - 20.0 * serving;
        else if (spec.latencyTarget.count() > 0)
            score += 10.0 * free - 20.0 * filling;
        else
            score += (worker.runs.empty() ? 0 : 5) - 10.0 * free;
        if (!best || score > bestScore) {
            best = &worker;
            bestScore = score;
        }
    }
    return best;
}

void Scheduler::startRun(WorkerState &worker, JobRun &job, const TaskId &id, std::int64_t number,
                         Instant now, std::vector<SchedulerAction> &out)
{
    const StepSpec &spec = job.spec.steps[static_cast<std::size_t>(id.step)];
    StepRun &step = *findStep(id);
    TaskRun &task = step.tasks[static_cast<std::size_t>(id.index)];
    WorkerRun run{.task = id, .run = number};
    run.need = spec.need;
    if (spec.usesIdleCores)
        run.need.milliCores = 0;
    run.fills = spec.usesIdleCores;
    run.isLongRunning = spec.isLongRunning;
    run.latencyTarget = spec.latencyTarget;
    run.ordered = now;
    run.tries = 1;
    run.isOrderInFlight = true;
    task.isPlaced = true;
    task.mayRunUnseen = false;
    task.worker = worker.report.id;
    task.lastRun = number;
    ++step.placed;
    worker.used += run.need;
    if (worker.runs.empty())
        worker.lookDue = std::max(worker.lookDue, now + m_settings.lookSpacing);
    worker.runs.push_back(run);
    if (job.state == JobState::Queued) {
        job.state = JobState::Running;
        makeLazilyDirty(job, now);
        const auto waited = std::chrono::duration_cast<Millis>(now - job.accepted);
        decided({"job_started",
                 {{"job", textOf(id.job)},
                  {"queue", job.spec.queue.name},
                  {"waited_ms", std::to_string(waited.count())}},
                 false,
                 waited});
    }
    out.emplace_back(startOrder(worker, job, worker.runs.back(), now));
}

StartOrder Scheduler::startOrder(WorkerState &worker, const JobRun &job, const WorkerRun &run,
                                 Instant now)
{
    StartOrder order{.worker = worker.report.id,
                     .task = run.task,
                     .run = run.run,
                     .payload = job.spec.payload,
                     .checkpoint = findTask(run.task)->checkpoint};
    if (job.spec.queue.advice)
        order.ticket = m_tickets.find({run.task.job, run.task.occurrence, run.task.step},
                                      worker.report.id, now);
    order.leaseEnd = worker.clock.latest(now) + m_settings.workerLease;
    worker.clock.grant(order.leaseEnd);
    m_startWindow.sent();
    return order;
}

} // namespace oleanderhall
