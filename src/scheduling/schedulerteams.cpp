// What the teams have running, and whether their caps allow another start.
#include "oleanderhall/scheduling/scheduler.h"

#include <algorithm>

namespace oleanderhall {

namespace {

// Counting what earlier owners may have started visits every released job that was inherited. An
// older count is too high at most.
constexpr Millis kPossibleCountInterval{100};

constexpr Millis kCapRefusalLifetime{1000}; // one report

Resources lower(const Resources &a, const Resources &b)
{
    return {.milliCores = std::min(a.milliCores, b.milliCores),
            .memoryMb = std::min(a.memoryMb, b.memoryMb),
            .gpus = std::min(a.gpus, b.gpus)};
}

/// Returns whether an earlier owner may have started the task on a worker that was not read.
bool mayRunUnread(const TrackedTask &task)
{
    return task.mayRunOnUnsyncedWorker && !task.isDone && !task.isPlaced;
}

} // namespace

void Scheduler::setTeams(ConfigVersion version, const std::vector<TeamConfig> &teams, Instant now)
{
    if (version >= m_teamUsage.version()) {
        m_teamWeights.clear();
        for (const TeamConfig &team : teams)
            m_teamWeights[team.id] = team.weight;
    }
    m_teamUsage.setTeams(version, teams, now);
    m_needsPlacement = true;
}

void Scheduler::addUsage(PoolId pool, const WorkerRun &run)
{
    m_teamUsage.addRunning(run.team, run.need);
    m_pools[pool].used[run.team] += run.reservation;
}

void Scheduler::removeUsage(PoolId pool, const WorkerRun &run)
{
    m_teamUsage.removeRunning(run.team, run.need);
    m_pools[pool].used[run.team] -= run.reservation;
}

/// Compares the jobs that were added since the last call with the rates of their teams. After a
/// take-over, this includes ended jobs, in the order in which they were accepted.
void Scheduler::rateNewJobs()
{
    if (m_newTeamJobs.empty() || !m_teamUsage.isConfigured())
        return;
    std::vector<TrackedJob *> jobs;
    jobs.reserve(m_newTeamJobs.size());
    for (const JobId id : std::exchange(m_newTeamJobs, {})) {
        if (const auto found = m_jobs.find(id); found != m_jobs.end())
            jobs.push_back(&found->second);
    }
    std::stable_sort(jobs.begin(), jobs.end(), [](const TrackedJob *a, const TrackedJob *b) {
        return a->spec.acceptedMs < b->spec.acceptedMs;
    });
    for (TrackedJob *job : jobs) {
        const auto weight = m_teamWeights.find(job->spec.team);
        job->isOverRate = weight != m_teamWeights.end()
            && m_rateLimiter.isOverRate(job->spec.team, weight->second, job->spec.acceptedMs);
    }
}

/// Returns the team's weight; that of jobs without a team is the mean of the teams' weights.
double Scheduler::weightOf(TeamId team) const
{
    const auto found = m_teamWeights.find(team);
    if (found != m_teamWeights.end() && found->second > 0)
        return found->second;
    double sum = 0;
    int count = 0;
    for (const auto &[id, weight] : m_teamWeights) {
        sum += weight;
        count += weight > 0 ? 1 : 0;
    }
    return count > 0 ? sum / count : 1;
}

TeamStanding Scheduler::standingOf(const PoolState &pool, TeamId team) const
{
    const auto used = pool.used.find(team);
    return {.weight = weightOf(team),
            .running = used == pool.used.end() ? Resources() : used->second,
            .capacity = pool.capacity};
}

StepStanding Scheduler::stepStandingOf(const TrackedJob &job, const Occurrence &occurrence,
                                       Instant now) const
{
    const JobRankInputs inputs = rankInputsOf(job, occurrence, now);
    StepStanding standing{.rank = rankOf(inputs), .accepted = job.accepted};
    // A long-running job that has been started must not stay down behind other jobs.
    if (job.isOverRate && !(inputs.isLongRunning && job.state == JobState::Running))
        standing.stepClass = StepStanding::Class::OverRate;
    else if (inputs.isLongRunning)
        standing.stepClass = StepStanding::Class::LongRunning;
    const std::chrono::duration<double, std::milli> objective = inputs.stretch * inputs.criticalPath
        + inputs.allowance;
    standing.slack = std::chrono::duration_cast<Millis>(objective) - inputs.age
        - inputs.criticalPathLeft;
    return standing;
}

std::vector<TeamLoad> Scheduler::teamLoads(Instant now) const
{
    std::map<TeamId, TeamLoad> loads;
    for (const auto &[team, weight] : m_teamWeights)
        loads[team];
    for (const JobId id : m_active) {
        const TrackedJob &job = m_jobs.at(id);
        TeamLoad &load = loads[job.spec.team];
        if (job.state != JobState::Queued || job.spec.occurrences > 0)
            continue;
        ++load.waitingJobs;
        load.overRateJobs += job.isOverRate ? 1 : 0;
    }
    std::vector<TeamLoad> result;
    result.reserve(loads.size());
    for (auto &[team, load] : loads) {
        load.team = team;
        load.weight = weightOf(team);
        const TeamUsage::Amounts amounts = m_teamUsage.amounts(team);
        load.running = amounts.running;
        load.possiblyRunning = amounts.possible;
        load.cap = m_teamUsage.cap(team, now);
        const auto refusal = m_lastCapRefusals.find(team);
        load.isAtCap = refusal != m_lastCapRefusals.end()
            && now - refusal->second <= kCapRefusalLifetime;
        for (const auto &[id, pool] : m_pools)
            load.share = std::max(load.share, dominantShare(standingOf(pool, team)));
        result.push_back(load);
    }
    return result;
}

void Scheduler::countPossiblyRunning(Instant now)
{
    if (now < m_nextPossibleCount || m_possiblyStarted.empty())
        return;
    m_nextPossibleCount = now + kPossibleCountInterval;
    if (now - m_termStart >= m_settings.inheritedTaskDelay)
        m_possiblyStarted.clear();
    m_teamUsage.setPossible(possiblyRunning());
}

/// Returns what earlier owners may have started on workers that this owner has not read. A step may
/// have been started before the end of an earlier one is known here, so all steps are summed.
std::map<TeamId, Resources> Scheduler::possiblyRunning() const
{
    struct Amount
    {
        Resources reserved; ///< Bounded by the capacity of the unread workers.
        std::int64_t idleMilliCores = 0; ///< Reserve nothing on a worker.
    };
    std::map<PoolId, bool> isRead;
    std::map<std::pair<PoolId, TeamId>, Amount> amounts;
    for (const JobId id : m_possiblyStarted) {
        const auto found = m_jobs.find(id);
        if (found == m_jobs.end())
            continue;
        const TrackedJob &job = found->second;
        // What was started in several pools isn't bounded by the capacity of one.
        const PoolId pool = job.earlierPools.empty() ? job.spec.queue.pool : PoolId();
        const auto [read, isNew] = isRead.try_emplace(pool);
        if (isNew)
            read->second = pool.empty() ? isSynced() : isSynced(pool);
        if (read->second)
            continue;
        Amount &amount = amounts[{pool, job.spec.team}];
        amount.reserved += job.inheritedRunning;
        for (const Occurrence &occurrence : job.occurrences) {
            for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
                const auto &tasks = occurrence.steps[step].tasks;
                const StepSpec &spec = job.spec.steps[step];
                const auto count = static_cast<int>(
                    std::count_if(tasks.begin(), tasks.end(), mayRunUnread));
                Resources need = times(spec.need, count);
                if (spec.usesIdleCores)
                    amount.idleMilliCores += std::exchange(need.milliCores, 0);
                amount.reserved += need;
            }
        }
    }
    std::map<TeamId, Resources> result;
    for (const auto &[key, amount] : amounts) {
        const auto &[pool, team] = key;
        const std::optional<Resources> bound = unreadCapacity(pool);
        Resources &sum = result[team];
        sum += bound ? lower(*bound, amount.reserved) : amount.reserved;
        sum.milliCores += amount.idleMilliCores;
    }
    return result;
}

/// Returns the capacity of the pool's workers that this owner has not read, or nothing if it is not
/// known. Owners reserve no more than that, and a worker that was read refuses earlier owners. A
/// worker that has shrunk may go on with as many runs as its host can hold.
std::optional<Resources> Scheduler::unreadCapacity(PoolId pool) const
{
    if (!m_firstHostList || pool.empty())
        return std::nullopt;
    for (const auto &[id, earlier] : m_earlierWorkers) {
        if (earlier.pool == pool && !m_workers.contains(id))
            return std::nullopt;
    }
    Resources sum;
    for (const auto &[id, worker] : m_workers) {
        if (worker.info.pool != pool || worker.isSynced || worker.hasTerminated)
            continue;
        const auto earlier = m_earlierWorkers.find(id);
        sum += earlier == m_earlierWorkers.end()
            ? worker.info.capacity
            : higher(worker.info.capacity, earlier->second.capacity);
    }
    return sum;
}

/// Returns whether the cap of the job's team allows `count` further tasks of the step.
bool Scheduler::isWithinCap(const TrackedJob &job, const StepSpec &spec, int count, Instant now)
{
    const TeamId team = job.spec.team;
    if (team.empty())
        return true;
    // The cap of a team that was added in a version not read yet is unknown.
    if (!m_teamUsage.isKnown(team)
        && (!m_teamUsage.isConfigured() || job.spec.config > m_teamUsage.version()))
        return false;
    const bool isAdmitted = m_teamUsage.admits(team, spec.need, count, now);
    if (!isAdmitted)
        m_lastCapRefusals[team] = now;
    return isAdmitted;
}

/// Returns whether the team's cap, which may have been lowered since, still allows the start.
bool Scheduler::mayRepeatStart(const WorkerRun &run, Instant now)
{
    m_teamUsage.removeRunning(run.team, run.need);
    const bool isAllowed = m_teamUsage.admits(run.team, run.need, 1, now);
    m_teamUsage.addRunning(run.team, run.need);
    return isAllowed;
}

/// Returns what the tasks of the job use that run or may run.
Resources Scheduler::heldBy(const TrackedJob &job) const
{
    Resources sum = job.inheritedRunning;
    for (const Occurrence &occurrence : job.occurrences) {
        for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
            const TrackedStep &tracked = occurrence.steps[step];
            const auto unsynced = m_possiblyStarted.empty()
                ? 0
                : std::count_if(tracked.tasks.begin(), tracked.tasks.end(), mayRunUnread);
            sum += times(job.spec.steps[step].need,
                         tracked.placedTasks + static_cast<int>(unsynced));
        }
    }
    return sum;
}

} // namespace oleanderhall
