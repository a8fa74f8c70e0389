#pragma once

#include "oleanderhall/jobs/jobprogress.h"
#include "oleanderhall/jobs/jobspec.h"
#include "oleanderhall/scheduling/actions.h"
#include "oleanderhall/scheduling/arrivalrate.h"
#include "oleanderhall/scheduling/callresult.h"
#include "oleanderhall/scheduling/decision.h"
#include "oleanderhall/scheduling/joborder.h"
#include "oleanderhall/scheduling/jobrun.h"
#include "oleanderhall/scheduling/orderwindow.h"
#include "oleanderhall/scheduling/pooldemand.h"
#include "oleanderhall/scheduling/queueload.h"
#include "oleanderhall/scheduling/runtimemodel.h"
#include "oleanderhall/scheduling/schedulersettings.h"
#include "oleanderhall/scheduling/tickets.h"
#include "oleanderhall/scheduling/workerlook.h"
#include "oleanderhall/scheduling/workerstate.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace oleanderhall {

/// A Scheduler decides where every task runs while its process owns the fleet. It does no I/O:
/// events and the time come in, orders go out through tick(). One object serves one term of
/// ownership and starts from the stored jobs and from what the workers report.
class Scheduler
{
public:
    /// `generation` counts the changes of ownership; run numbers of a later one are higher.
    Scheduler(SchedulerSettings settings, std::int64_t generation, Instant now);

    /// Takes the rules now in force; jobs of a queue that was removed keep the rule they came with.
    void setQueues(ConfigVersion version, const std::vector<QueueConfig> &queues);
    /// Takes the complete list of workers from service discovery.
    void listWorkers(const std::vector<WorkerReport> &workers, Instant now);
    /// Takes a stored job that was accepted at `accepted`; `progress` is what is recorded of it. An
    /// inherited job may have been started by an earlier owner.
    void accept(JobSpec spec, const JobProgress &progress, bool isInherited, Instant accepted);
    void cancel(JobId id, Instant now);
    /// Keeps new tasks off these workers and allows them on all others.
    void cordon(const std::set<WorkerId> &workers);
    /// Records that an order which ends everything on the worker is sent, or that it failed.
    void setEnding(WorkerId worker, bool isEnding);
    /// Records that a maintenance order has ended everything on the worker.
    void workerEnded(WorkerId worker, Instant now);

    void startAnswered(const StartOrder &order, CallResult result, Instant now);
    void stopAnswered(const StopOrder &order, CallResult result, Instant now);
    void paceAnswered(const PaceOrder &order, CallResult result, Instant now);
    /// `look` is meaningful only with CallResult::Ok.
    void lookAnswered(const LookOrder &order, CallResult result, const WorkerLook &look,
                      Instant sent, Instant now);
    void adviceAnswered(const AdviceOrder &order, bool isAnswered,
                        const std::vector<std::pair<WorkerId, std::string>> &tickets, Instant now);
    void recordAnswered(std::uint64_t batch, bool isDurable, Instant now);

    /// Decides at `now`; `wallMs` is the time of day in milliseconds since 1970. While `mayOrder`
    /// is false, because ownership is in doubt, it only looks and extends leases.
    std::vector<SchedulerAction> tick(Instant now, std::int64_t wallMs, bool mayOrder = true);
    /// Returns when tick() should be called next if nothing happens before.
    Instant nextTick(Instant now) const;

    /// Returns the decisions since the last call, for the log.
    std::vector<Decision> takeDecisions();
    /// Returns how much each queue has waiting.
    std::vector<QueueLoad> queueLoads() const;
    const std::map<WorkerId, WorkerState> &workers() const { return m_workers; }
    const std::map<JobId, JobRun> &jobs() const { return m_jobs; }
    /// Returns whether maintenance may end what runs on `worker`: only runs whose step can miss it.
    bool mayInterrupt(WorkerId worker) const;
    /// Stops long-running tasks of these workers one by one, as their steps' budgets allow.
    void evacuate(const std::set<WorkerId> &workers, Instant now);
    /// Returns what the work of each pool asks of its hosts.
    PoolDemands poolDemands(Instant now);
    /// Takes the workers that the platform lists in a pool. Until all of them were read, tasks that
    /// an earlier owner may have started there wait.
    void expectWorkers(ServiceId pool, std::vector<WorkerId> workers);
    /// Takes the workers whose hosts are to be maintained soon: others are better for long runs.
    void setDueSoon(std::set<WorkerId> workers) { m_dueSoon = std::move(workers); }
    /// Returns whether every worker that may run tasks of the pool has been read.
    bool isRead(ServiceId pool) const;

private:
    struct Candidate
    {
        JobRun *job;
        Occurrence *occurrence;
        int step;
        JobRank rank;
    };

    /// How many tasks of a step are at work, as seen from one worker.
    struct StepPresence
    {
        int elsewhere = 0; ///< Certainly at work on other workers.
        int here = 0; ///< Certainly at work on this one.
        int mayBeHere = 0; ///< Perhaps at work on this one.
    };

    // Events.
    WorkerState *answeringWorker(WorkerId id, CallResult result, Instant now);
    std::pair<WorkerState *, WorkerRun *> takeAnswer(WorkerId id, const TaskId &task,
                                                     std::int64_t number, CallResult result,
                                                     Instant now);
    void takeLook(WorkerState &worker, const WorkerLook &look, Instant sent, Instant now);
    void takeRunning(WorkerState &worker, const RunningTask &row, Instant now);
    void takeEnd(WorkerState &worker, const EndedTask &ended, Instant now);
    void noteFailure(WorkerState &worker, JobRun &job, TaskRun &task, const TaskId &id,
                     Instant now);
    void avoid(WorkerState &worker, const char *why, Instant now);
    void endRuns(WorkerState &worker, const char *why, Instant now);
    void removeRun(WorkerState &worker, std::size_t index);
    void release(const WorkerRun &run, Instant now);
    WorkerRun *findRun(WorkerState &worker, const TaskId &task, std::int64_t run);
    void requestStop(WorkerRun &run, Instant now);
    void stopJob(JobRun &job, Instant now);
    void finish(JobRun &job, JobState state, Instant now);
    void makeDirty(JobRun &job);
    void makeLazilyDirty(JobRun &job, Instant now);
    TaskRun *findTask(const TaskId &id);
    StepRun *findStep(const TaskId &id);
    const StepSpec *findSpec(const TaskId &id) const;
    void decided(Decision decision);

    // Steps of tick().
    void openOccurrences(std::int64_t wallMs);
    void openOccurrence(JobRun &job, int number);
    void finishIfComplete(JobRun &job, Instant now);
    void expireLeases(Instant now);
    void findStalls(WorkerState &worker, Instant now);
    void controlPace(WorkerState &worker, Instant now);
    void sendOrders(WorkerState &worker, Instant now, std::vector<SchedulerAction> &out);
    void sendLooks(WorkerState &worker, Instant now, std::vector<SchedulerAction> &out);
    void record(Instant now, std::vector<SchedulerAction> &out);
    void dropOld(Instant now);

    // Placement.
    void place(Instant now, std::vector<SchedulerAction> &out);
    void placePool(ServiceId pool, Instant now, std::vector<SchedulerAction> &out);
    std::vector<Candidate> candidates(ServiceId pool, Instant now);
    void placeStep(const Candidate &candidate, Instant now, std::vector<SchedulerAction> &out);
    void askAdvice(const Candidate &candidate, Instant now, std::vector<SchedulerAction> &out);
    bool placeTask(JobRun &job, Occurrence &occurrence, int step, int index, Instant now,
                   std::vector<SchedulerAction> &out);
    void placeGang(JobRun &job, Occurrence &occurrence, int step, Instant now,
                   std::vector<SchedulerAction> &out);
    WorkerState *chooseWorker(const JobRun &job, const Occurrence &occurrence, int step,
                              const TaskRun &task, Instant now);
    void startRun(WorkerState &worker, JobRun &job, const TaskId &id, std::int64_t run, Instant now,
                  std::vector<SchedulerAction> &out);
    StartOrder startOrder(WorkerState &worker, const JobRun &job, const WorkerRun &run,
                          Instant now);
    StepPresence presenceOf(const TaskId &id, WorkerId here) const;
    bool isReady(const JobRun &job, const Occurrence &occurrence, int step) const;
    bool mayStart(const JobRun &job, const TaskRun &task, Instant now) const;
    JobFacts factsOf(const JobRun &job, const Occurrence &occurrence, Instant now) const;
    Millis remainingChain(const JobRun &job, const Occurrence &occurrence) const;
    double remainingWork(const JobRun &job, const Occurrence &occurrence) const;
    std::int64_t nextRun(std::int64_t last) const;
    JobProgress progressOf(const JobRun &job) const;

    SchedulerSettings m_settings;
    std::int64_t m_generation;
    Instant m_begun;
    ConfigVersion m_version;
    std::map<std::string, QueueConfig> m_queues;
    std::map<WorkerId, WorkerState> m_workers;
    std::map<JobId, JobRun> m_jobs;
    std::set<JobId> m_active; ///< Jobs that have not ended.
    bool m_hasChanged = true;
    Instant m_placed;
    OrderWindow m_startWindow; ///< Of start orders without an answer.
    ServiceId m_firstPool; ///< Whose tasks are placed first next time.
    RunTimeModel m_runTimes;
    std::map<ServiceId, std::vector<WorkerId>> m_expected;
    std::set<WorkerId> m_dueSoon;
    std::map<ServiceId, ArrivalRate> m_arrivals; ///< Of work, in core-seconds a second.
    Tickets m_tickets;
    std::set<JobId> m_dirty;
    std::vector<JobId> m_expired; ///< Ended jobs whose records are to be dropped.
    std::uint64_t m_batch = 0;
    std::optional<std::uint64_t> m_batchInFlight;
    std::vector<JobId> m_batchJobs;
    std::vector<JobId> m_batchDropped;
    Instant m_recordDue;
    std::vector<Decision> m_decisions;
};

} // namespace oleanderhall
