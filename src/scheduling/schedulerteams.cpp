// What the teams have running, and whether their caps allow another start.
#include "oleanderhall/scheduling/scheduler.h"

#include <algorithm>

namespace oleanderhall {

namespace {

// Counting what earlier owners may have started visits every released job that was inherited. An
// older count is too high at most.
constexpr Millis kPossibleCountInterval{100};

Resources times(const Resources &need, int count)
{
    return {.milliCores = need.milliCores * count,
            .memoryMb = need.memoryMb * count,
            .gpus = need.gpus * count};
}

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
    m_teamUsage.setTeams(version, teams, now);
    m_needsPlacement = true;
}

void Scheduler::countTeamUsage(Instant now)
{
    if (!m_hasTeamJobs)
        return;
    m_teamUsage.clearRunning();
    for (const auto &[id, worker] : m_workers) {
        for (const WorkerRun &run : worker.runs)
            m_teamUsage.addRunning(run.team, run.need);
    }
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
        const PoolId pool = job.spec.queue.pool;
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
/// known. Owners reserve no more than that, and a worker that was read refuses earlier owners.
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
        if (worker.info.pool == pool && !worker.isSynced && !worker.hasTerminated)
            sum += worker.info.capacity;
    }
    return sum;
}

/// Returns whether the cap of the job's team allows `count` further tasks of the step.
bool Scheduler::isWithinCap(const TrackedJob &job, const StepSpec &spec, int count,
                            Instant now) const
{
    const TeamId team = job.spec.team;
    if (team.empty())
        return true;
    // The cap of a team that was added in a version not read yet is unknown.
    if (!m_teamUsage.isKnown(team)
        && (!m_teamUsage.isConfigured() || job.spec.config > m_teamUsage.version()))
        return false;
    return m_teamUsage.admits(team, spec.need, count, now);
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
