#pragma once

#include "oleanderhall/jobs/jobprogress.h"
#include "oleanderhall/jobs/jobspec.h"
#include "oleanderhall/maintenance/hostinfo.h"
#include "oleanderhall/scheduling/arrivalrate.h"
#include "oleanderhall/scheduling/callresult.h"
#include "oleanderhall/scheduling/capacityreservation.h"
#include "oleanderhall/scheduling/congestionwindow.h"
#include "oleanderhall/scheduling/decision.h"
#include "oleanderhall/scheduling/jobrank.h"
#include "oleanderhall/scheduling/pooldemand.h"
#include "oleanderhall/scheduling/queueload.h"
#include "oleanderhall/scheduling/runtimemodel.h"
#include "oleanderhall/scheduling/scheduleraction.h"
#include "oleanderhall/scheduling/schedulersettings.h"
#include "oleanderhall/scheduling/startgate.h"
#include "oleanderhall/scheduling/teamload.h"
#include "oleanderhall/scheduling/teamqueues.h"
#include "oleanderhall/scheduling/ticketcache.h"
#include "oleanderhall/scheduling/trackedjob.h"
#include "oleanderhall/scheduling/workerstate.h"
#include "oleanderhall/scheduling/workerstatus.h"
#include "oleanderhall/teams/teamconfig.h"
#include "oleanderhall/teams/teamratelimiter.h"
#include "oleanderhall/teams/teamusage.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace oleanderhall {

/// A Scheduler decides where every task runs while its process owns the fleet. It does no I/O: the
/// caller passes in events and the time, carries out the actions that tick() returns, and reports
/// their results. One object serves one term of ownership and builds its state from the stored
/// jobs and from the status of the workers.
class Scheduler
{
public:
    /// `generation` is the number of changes of ownership; run numbers of a later generation are
    /// higher.
    Scheduler(SchedulerSettings settings, std::int64_t generation, Instant now);

    /// Sets the configuration of the queues unless a later version is known. Jobs of a removed
    /// queue keep the configuration they were accepted with.
    void setQueues(ConfigVersion version, const std::vector<QueueConfig> &queues);
    /// Sets the configuration of the teams unless a later version is known. Until the first call,
    /// no task of a team's job starts.
    void setTeams(ConfigVersion version, const std::vector<TeamConfig> &teams, Instant now);
    /// Sets the complete list of workers from service discovery.
    void setWorkers(const std::vector<WorkerInfo> &workers, Instant now);
    /// Adds a stored job that was accepted at `accepted`, with its recorded progress. An inherited
    /// job may have been started by an earlier owner. Does nothing for a known job, except that one
    /// whose cancellation was read before it is recorded as cancelled.
    void addJob(JobSpec spec, const JobProgress &progress, bool isInherited, Instant accepted);
    /// Cancels a job and stops its runs. Does nothing for an ended job. An unknown one was
    /// cancelled while it wasn't stored; its records are deleted like those of an ended job.
    void cancel(JobId id, Instant now);
    /// Sets which start commands are permitted: none are returned by tick() while the gate is
    /// closed, and no worker carries one out after StartGate::latestStart().
    void setStartGate(const StartGate &gate) { m_startGate = gate; }
    /// Cordons exactly these workers: they get no new tasks.
    void cordon(const std::set<WorkerId> &workers);
    /// Sets whether a host command that ends all runs of the worker is in flight. A command that
    /// failed is no longer in flight; the worker's tasks count as unavailable until a new status.
    void setTerminating(WorkerId worker, bool isTerminating, Instant now);
    /// Until `until`, a command that this owner can't follow may end the worker's runs: its tasks
    /// count as unavailable until a status whose poll was sent after that. Has no effect on unknown
    /// workers.
    void distrustRuns(WorkerId worker, Instant until);
    /// Compares the workers with a complete list of hosts that was requested at `requested`.
    /// A worker whose host is listed with another worker or without one has terminated. So has a
    /// worker that was in service discovery before, does not answer and is on no host. A task that
    /// an earlier owner may have started waits until this owner has read the runs of every worker
    /// of the first list that has not terminated since.
    void updateHosts(const std::vector<HostInfo> &hosts, Instant requested, Instant now);
    /// Records that a host command has terminated the worker, as a list of hosts that was requested
    /// at `requested` shows.
    void onWorkerTerminated(WorkerId worker, Instant requested, Instant now);

    /// The following functions report the results of actions returned by tick().
    void onStartResult(const StartCommand &command, CallResult result, Instant now);
    void onStopResult(const StopCommand &command, CallResult result, Instant now);
    void onCpuLimitResult(const CpuLimitCommand &command, CallResult result, Instant now);
    /// `status` is meaningful only with CallResult::Ok; `sent` is when the poll was sent.
    void onPollResult(const PollRequest &request, CallResult result, const WorkerStatus &status,
                      Instant sent, Instant now);
    void onAdviceResult(const AdviceRequest &request, bool isAnswered,
                        const std::vector<std::pair<WorkerId, std::string>> &tickets, Instant now);
    void onProgressWritten(std::uint64_t batch, bool isDurable, Instant now);

    /// Returns the actions that are due at `now`; `wallClockMs` is the wall clock in milliseconds
    /// since 1970. While ownership is in doubt, `maySendCommands` is false; tick() then only
    /// polls workers, which also extends leases.
    std::vector<SchedulerAction> tick(Instant now, std::int64_t wallClockMs,
                                      bool maySendCommands = true);
    /// Returns when to call tick() next if no event arrives before.
    Instant nextTick(Instant now) const;

    /// Returns and clears the decisions since the last call, for the log.
    std::vector<Decision> takeDecisions();
    /// Returns the number of waiting jobs of each queue with active jobs.
    std::vector<QueueLoad> queueLoads(Instant now) const;
    /// Returns what each team with a configuration, or with active jobs, uses and waits for.
    std::vector<TeamLoad> teamLoads(Instant now) const;
    const std::map<WorkerId, WorkerState> &workers() const { return m_workers; }
    const std::map<JobId, TrackedJob> &jobs() const { return m_jobs; }
    /// Returns whether maintenance may end all runs of `worker`: all are of long-running tasks
    /// whose disruption budgets allow it, and no host command to it is in flight.
    bool mayInterrupt(WorkerId worker, Instant now) const;
    /// Returns the same for a worker whose host command is about to be sent.
    bool mayEndRuns(WorkerId worker, Instant now) const;
    /// Stops long-running tasks of these workers as far as their steps' disruption budgets allow.
    void evacuate(const std::set<WorkerId> &workers, Instant now);
    /// Stops the tasks of these workers that aren't long-running; they start elsewhere, from their
    /// last checkpoint.
    void preempt(const std::set<WorkerId> &workers, Instant now);
    /// Returns the capacity that the work of each pool requires.
    PoolDemands poolDemands(Instant now);
    /// Returns how long a new job would wait in each pool if it was placed after all waiting ones.
    /// Pools with room, or without waiting work, are omitted.
    std::map<PoolId, Millis> poolWaits(Instant now) const;
    /// Sets the workers whose hosts will be maintained soon. Long-running tasks prefer others.
    void setAwaitingMaintenance(std::set<WorkerId> workers)
    {
        m_awaitingMaintenance = std::move(workers);
    }
    /// Returns whether this owner has read the runs of every worker on which an earlier owner may
    /// have started tasks of the pool.
    bool isSynced(PoolId pool) const;
    /// Returns the same for all pools.
    bool isSynced() const;
    /// Returns whether each index equals what a search of all jobs and workers finds. For tests.
    bool areIndexesConsistent() const;

private:
    using StepQueues = TeamQueues<WeightedFairShare, StepPosition>;

    /// A worker that takes new tasks, with what chooseWorker() compares, next to that of others in
    /// memory.
    struct PlacementCandidate
    {
        WorkerState *worker = nullptr;
        Resources free;
        double freeShare = 0; ///< Of its cores.
        double slownessPenalty = 0;
        bool hasRuns = false;
    };

    /// The active jobs of a pool and its workers.
    struct PoolState
    {
        std::set<JobId> jobs;
        std::set<JobId> startable; ///< Contains each of them that has tasks to start.
        std::vector<WorkerState *> workers;
        Resources capacity; ///< Of the workers.
        Resources largestWorker; ///< The highest amount of each resource on one of them.
        std::map<TeamId, Resources> used; ///< Reserved by the runs of each team.
        std::map<TeamId, RefusedStep> refused; ///< The step of each team that was refused last.
        CapacityReservation reservation;
        std::set<WorkerId> quarantine; ///< Workers that start only isolated tasks.
        StepQueues ranked; ///< As of the last ranking; steps without tasks are removed.
        Instant nextRanking;
        Instant nextCopies; ///< When to look for stragglers again.
        /// isSynced() of the pool in the present placement, during which it doesn't change.
        std::optional<bool> isSynced;
        /// In the order of `workers`; as of the present placement.
        std::optional<std::vector<PlacementCandidate>> candidates;
    };

    /// Where a worker ran when this owner took over.
    struct EarlierWorker
    {
        HostId host;
        PoolId pool;
        Resources capacity; ///< Of the host.
    };

    /// The number of a step's tasks that are ready, on one worker and elsewhere.
    struct StepPresence
    {
        int elsewhere = 0; ///< Certainly ready on other workers.
        int here = 0; ///< Certainly ready on this worker.
        int possiblyHere = 0; ///< Possibly ready on this worker.
    };

    // Handling of events.
    WorkerState *updateCommandedWorker(WorkerId id, WorkerStartTime started, CallResult result,
                                       Instant now);
    template <typename Command>
    std::pair<WorkerState *, WorkerRun *> updateCommandedRun(const Command &command,
                                                             CallResult result, Instant now);
    void handleStatus(WorkerState &worker, const WorkerStatus &status, Instant sent, Instant now);
    void handleActiveRun(WorkerState &worker, const ActiveRun &reported, Instant now);
    void handleEndedRun(WorkerState &worker, const EndedRun &ended, Instant now);
    void handleFailure(WorkerState &worker, TrackedJob &job, TrackedTask &task, const TaskId &id,
                       Instant now);
    void avoid(WorkerState &worker, const char *reason, Instant now);
    void dropAllRuns(WorkerState &worker, const char *reason, Instant now);
    void addRun(WorkerState &worker, WorkerRun run);
    void removeHolder(JobId job, WorkerState &worker);
    std::vector<WorkerState *> holdersOf(JobId job) const;
    void removeRun(WorkerState &worker, std::size_t index);
    void unplace(const WorkerRun &run, Instant now);
    WorkerRun *findRun(WorkerState &worker, const TaskId &task, std::int64_t run);
    void requestStop(WorkerRun &run, Instant now);
    void abandonStart(WorkerState &worker, WorkerRun &run, Instant now);
    void stopAbandonedStarts(WorkerState &worker, Instant sent, Instant now);
    void stopJob(TrackedJob &job, Instant now);
    void addWithdrawn(JobId id, Instant now);
    void recordWithdrawn(TrackedJob &job, JobSpec spec);
    void setQueue(TrackedJob &job, const QueueConfig &queue);
    void finish(TrackedJob &job, JobState state, Instant now);
    void markDirty(TrackedJob &job);
    void markLazilyDirty(TrackedJob &job, Instant now);
    TrackedTask *findTask(const TaskId &id);
    TrackedStep *findStep(const TaskId &id);
    const TrackedStep *findStep(const TaskId &id) const;
    const StepSpec *findSpec(const TaskId &id) const;
    void logDecision(Decision decision);

    // Workers that restart under their previous id.
    static bool isForEarlierIncarnation(const WorkerState &worker, WorkerStartTime started);
    static bool mayHaveRestarted(const WorkerState &worker, Instant now);
    bool noteIncarnation(WorkerState &worker, WorkerStartTime started, Instant now);
    void beginIncarnation(WorkerState &worker, WorkerStartTime started, Instant now);
    bool haveAllLeasesExpired(const WorkerState &worker, Instant now, Millis slack) const;

    // Workers that crash.
    static bool mayCrashWorker(const WorkerRun &run);
    static bool isEndExpected(const WorkerState &worker, Instant now);
    void onWorkerCrashed(const WorkerState &worker, Instant now);
    void addCrash(const TaskId &id, bool isOnlyJob, const WorkerState &worker, Instant now);
    static bool isSuspected(const TrackedTask &task);
    static bool isIsolated(const TrackedTask &task, Instant now);
    static void beginIsolation(TrackedTask &task, Instant now);
    static bool mayRunBeside(const WorkerRun &other, JobId job, bool isIsolated);
    static bool areCrashesRecorded(const TrackedJob &job, const TrackedTask &task);
    void updateSuspicion(WorkerRun &run, Instant now);
    std::set<JobId> jobsAwaitingIsolation(PoolId pool, Instant now);
    void updateQuarantine(PoolId id, PoolState &pool, Instant now);

    // The stages of tick().
    void openOccurrences(std::int64_t wallClockMs);
    void openOccurrence(TrackedJob &job, int number);
    void finishIfComplete(TrackedJob &job, Instant now);
    void dropExpiredRuns(Instant now);
    void stopStalledRuns(WorkerState &worker, Instant now);
    void adjustCpuLimits(WorkerState &worker, Instant now);
    void sendCommands(WorkerState &worker, Instant now, std::vector<SchedulerAction> &out);
    void sendPoll(WorkerState &worker, Instant now, std::vector<SchedulerAction> &out);
    void writeProgress(Instant now, std::vector<SchedulerAction> &out);
    void expireOldJobs(Instant now);
    void indexEnded(const TrackedJob &job);
    bool isEndedIndexConsistent() const;
    bool isStartableIndexConsistent() const;
    bool isHolderIndexConsistent() const;
    bool isWorkerListConsistent() const;

    // Teams.
    void addUsage(PoolId pool, const WorkerRun &run);
    void removeUsage(PoolId pool, const WorkerRun &run);
    void countPossiblyRunning(Instant now);
    void rateNewJobs();
    double weightOf(TeamId team) const;
    TeamStanding standingOf(const PoolState &pool, TeamId team) const;
    StepStanding stepStandingOf(const TrackedJob &job, const Occurrence &occurrence,
                                Instant now) const;
    std::map<TeamId, Resources> possiblyRunning() const;
    std::optional<Resources> unreadCapacity(PoolId pool) const;
    bool isWithinCap(const TrackedJob &job, const StepSpec &spec, int count, Instant now);
    void checkReservation(PoolState &pool, Instant now);
    void onStepRefused(PoolState &pool, const StepPosition &position, Instant now);
    void onStepStarted(PoolState &pool, const StepPosition &position);
    void reserveWorkers(PoolState &pool, const StepPosition &position, Instant now);
    bool mayRepeatStart(const WorkerRun &run, Instant now);
    Resources heldBy(const TrackedJob &job) const;

    // Placement.
    void place(Instant now, std::vector<SchedulerAction> &out);
    void placePool(PoolId id, PoolState &pool, Instant now, std::vector<SchedulerAction> &out);
    void rankSteps(PoolState &pool, Instant now);
    bool hasTasksToStart(const StepPosition &candidate) const;
    bool hasTasksToStart(const TrackedJob &job, const Occurrence &occurrence, int step) const;
    void noteTasksToStart(JobId id);
    void groupWorkersByPool();
    void groupJobsByPool();
    bool placeStep(PoolState &pool, const StepPosition &candidate, Instant now,
                   std::vector<SchedulerAction> &out);
    void requestAdvice(const StepPosition &candidate, Instant now,
                       std::vector<SchedulerAction> &out);
    bool placeTask(TrackedJob &job, Occurrence &occurrence, int step, int index, Instant now,
                   std::vector<SchedulerAction> &out);
    void placeGang(TrackedJob &job, Occurrence &occurrence, int step, Instant now,
                   std::vector<SchedulerAction> &out);
    WorkerState *chooseWorker(const TrackedJob &job, const Occurrence &occurrence, int step,
                              const TrackedTask &task, Instant now);
    static PlacementCandidate candidateOf(WorkerState &worker, Instant now);
    void updateCandidate(WorkerState &worker, Instant now);
    void startRun(WorkerState &worker, TrackedJob &job, const TaskId &id, std::int64_t number,
                  Instant now, std::vector<SchedulerAction> &out);
    void noteStarted(TrackedJob &job, Instant now);
    void noteBegun(const TaskId &task, Instant now);
    void noteNotStarted(const TaskId &task);
    StartCommand makeStartCommand(WorkerState &worker, const TrackedJob &job, const WorkerRun &run,
                                  Instant now);
    bool areEarlierRunsKnown(const TrackedJob &job, const TrackedTask &task, Instant now);

    // Copies of stragglers.
    static bool allowsCopies(const StepSpec &spec);
    static bool mayRunTwice(const TrackedJob &job, const StepSpec &spec, const TrackedTask &task);
    static double typicalRunTimeMs(const WorkerRun &run, const TrackedStep &step);
    static double excessOf(const WorkerRun &run, const TrackedStep &step, Instant now);
    static void trackCopy(TrackedTask &task, WorkerRun &run, WorkerId worker);
    std::optional<Resources> waitingNeeds(const PoolState &pool, Instant now) const;
    void placeCopies(PoolState &pool, Instant now, std::vector<SchedulerAction> &out);
    bool placeCopy(const WorkerRun &run, double excess, Instant now,
                   std::vector<SchedulerAction> &out);
    void endOtherRun(const TaskId &id, TrackedTask &task, Instant now);

    // The speed of workers.
    static bool showsSpeed(const StepSpec &spec);
    static double slownessPenalty(const WorkerState &worker, Instant now);
    static bool isSlow(const WorkerState &worker, Instant now);
    void observeSpeed(WorkerState &worker, double ratio, Instant now);
    void observeRunTime(WorkerState &worker, const WorkerRun &run, TrackedStep &step, Instant now);
    void noteOverdueRun(WorkerState &worker, WorkerRun &run, Instant now);

    bool isCertainlyReady(const WorkerState &worker, const WorkerRun &run, Instant now) const;
    StepPresence presenceOf(const TaskId &id, WorkerId here, Instant now) const;
    bool areDependenciesDone(const TrackedJob &job, const Occurrence &occurrence, int step) const;
    bool mayStart(const TrackedJob &job, const TrackedTask &task, Instant now);
    JobRankInputs rankInputsOf(const TrackedJob &job, const Occurrence &occurrence,
                               Instant now) const;
    /// Without `occurrence`, the following functions return the figures of the whole job.
    Millis remainingCriticalPath(const TrackedJob &job, const Occurrence *occurrence) const;
    double remainingWork(const TrackedJob &job, const Occurrence *occurrence) const;
    std::int64_t nextRunNumber(std::int64_t last) const;
    JobProgress progressOf(const TrackedJob &job) const;
    static void restoreReleases(TrackedJob &job, const JobProgress &progress);
    static std::vector<PoolId> releasedPoolsOf(const TrackedJob &job);

    SchedulerSettings m_settings;
    std::int64_t m_generation;
    Instant m_termStart;
    ConfigVersion m_version;
    std::map<std::string, QueueConfig> m_queues;
    std::map<WorkerId, WorkerState> m_workers;
    std::vector<WorkerState *> m_workerList; ///< All of `m_workers`, which is slower to visit.
    std::map<JobId, TrackedJob> m_jobs;
    /// The workers with runs of each job, once for each run, in any order.
    std::map<JobId, std::vector<WorkerState *>> m_holders;
    std::set<JobId> m_active; ///< Jobs that have not ended.
    std::set<JobId> m_recurring; ///< Those of them that run at several times.
    std::map<PoolId, PoolState> m_pools;
    bool m_needsPlacement = true; ///< Something changed since the last placement.
    Instant m_lastPlacement;
    CongestionWindow m_startWindow; ///< Limits the start commands in flight.
    StartGate m_startGate;
    PoolId m_firstPool; ///< The pool whose tasks are placed first next time.
    RunTimeModel m_runTimes;
    /// When the first list of hosts of this term was requested.
    std::optional<Instant> m_firstHostList;
    /// The workers of that list whose hosts have not been listed without them since.
    std::map<WorkerId, EarlierWorker> m_earlierWorkers;
    std::set<WorkerId> m_awaitingMaintenance;
    std::map<PoolId, ArrivalRate> m_arrivals; ///< Of work, in core-seconds per second.
    TeamUsage m_teamUsage;
    std::map<TeamId, double> m_teamWeights;
    std::map<TeamId, Instant> m_lastCapRefusals; ///< When a cap last refused a task of the team.
    TeamRateLimiter m_rateLimiter;
    std::vector<JobId> m_newTeamJobs; ///< Not compared with their team's rate yet.
    /// Jobs of teams that an earlier owner may have started; empty once its runs can't go on.
    std::vector<JobId> m_possiblyStarted;
    Instant m_nextPossibleCount;
    /// Tasks that start isolated; also some that have ended since.
    std::set<TaskId> m_suspectTasks;
    TicketCache m_tickets;
    std::set<JobId> m_dirty; ///< Jobs with progress to be recorded.
    JobId m_firstDirty; ///< The next write begins with this job, so that none waits forever.
    /// Ended jobs whose progress is recorded, by the time of their end.
    std::set<std::pair<Instant, JobId>> m_ended;
    std::set<JobId> m_due; ///< Those of them whose records are due to be deleted.
    std::vector<JobId> m_expiredJobs; ///< Ended jobs whose records are to be deleted.
    std::uint64_t m_batch = 0; ///< The number of the last write.
    std::optional<std::uint64_t> m_batchInFlight;
    std::vector<JobId> m_batchJobs; ///< Jobs updated by the write in flight.
    std::vector<JobId> m_batchDropped; ///< Jobs deleted by the write in flight.
    Instant m_nextRecordTime; ///< No progress is written before this time.
    std::vector<Decision> m_decisions;
};

} // namespace oleanderhall
