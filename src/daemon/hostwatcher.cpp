#include "hostwatcher.h"

#include "log.h"

namespace oleanderhall {

namespace {

constexpr Millis kFrequentPollPeriod{200};
constexpr Millis kMinSteadyPollPeriod{2000};
// Limits polls of steady hosts to two per second in total.
constexpr Millis kSteadyPollPeriodPerHost{500};
constexpr int kPollPeriodsUntilExpiry = 4;
constexpr Millis kMaxIdleWait{100};
constexpr int kFailuresUntilUnhealthy = 2;

Instant timeNow()
{
    return std::chrono::steady_clock::now();
}

} // namespace

HostWatcher::HostWatcher(WorkerClient client, std::function<Sequence()> sequence, int threads)
    : m_client(std::move(client))
    , m_sequence(std::move(sequence))
{
    for (int index = 0; index < threads; ++index)
        m_threads.emplace_back([this] { run(); });
}

HostWatcher::~HostWatcher()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_changed.notify_all();
    for (std::thread &thread : m_threads)
        thread.join();
}

void HostWatcher::watch(const std::map<HostId, bool> &hosts)
{
    const std::lock_guard lock(m_mutex);
    std::erase_if(m_watchedHosts, [&hosts](const auto &item) {
        return !hosts.contains(item.first) && !item.second.isBeingPolled;
    });
    for (const auto &[host, isPolledOften] : hosts) {
        WatchedHost &watched = m_watchedHosts[host];
        if (isPolledOften && !watched.isPolledOften)
            watched.nextPoll = timeNow();
        watched.isPolledOften = isPolledOften;
    }
    m_changed.notify_all();
}

void HostWatcher::send(const WorkerCommand &command, std::string body)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_watchedHosts.find(command.host);
    if (found == m_watchedHosts.end())
        return;
    found->second.command = command;
    found->second.body = std::move(body);
}

void HostWatcher::setHostList(const HostList &list)
{
    const std::lock_guard lock(m_mutex);
    m_hostList = list;
}

std::map<HostId, HostObservation> HostWatcher::observations(Instant now) const
{
    const std::lock_guard lock(m_mutex);
    std::map<HostId, HostObservation> result;
    const Millis expiry = kPollPeriodsUntilExpiry * steadyPollPeriod();
    for (const auto &[host, watched] : m_watchedHosts) {
        HostObservation observation = watched.observation;
        if (now - watched.observationTime > expiry)
            observation.health = Health::Unknown;
        const auto listed = m_hostList.find(host.name());
        observation.leaving = listed != m_hostList.end() && listed->second == ListedState::Leaving;
        result.emplace(host, observation);
    }
    return result;
}

std::uint64_t HostWatcher::pollCount() const
{
    const std::lock_guard lock(m_mutex);
    return m_pollCount;
}

void HostWatcher::run()
{
    for (;;) {
        const std::optional<PollTask> task = takePollTask();
        if (!task)
            return;
        execute(*task);
    }
}

std::optional<HostWatcher::PollTask> HostWatcher::takePollTask()
{
    std::unique_lock lock(m_mutex);
    for (;;) {
        if (m_isStopping)
            return std::nullopt;
        const Instant now = timeNow();
        for (auto &[host, watched] : m_watchedHosts) {
            if (watched.isBeingPolled || watched.nextPoll > now)
                continue;
            watched.isBeingPolled = true;
            watched.nextPoll = now
                + (watched.isPolledOften ? kFrequentPollPeriod : steadyPollPeriod());
            ++m_pollCount;
            return PollTask{host, std::exchange(watched.command, std::nullopt),
                            std::move(watched.body)};
        }
        m_changed.wait_for(lock, kMaxIdleWait);
    }
}

void HostWatcher::execute(const PollTask &task)
{
    const Sequence sequence = m_sequence();
    try {
        if (task.command)
            m_client.send(*task.command, task.body);
    } catch (const std::exception &error) {
        logWarning("worker_command_failed", {{"host", task.host.name()}, {"error", error.what()}});
    }
    try {
        HostObservation observation = m_client.observe(task.host);
        observation.observedAt = sequence;
        record(task.host, observation);
    } catch (const std::exception &) {
        record(task.host, std::nullopt);
    }
}

Millis HostWatcher::steadyPollPeriod() const
{
    return std::max<Millis>(kMinSteadyPollPeriod, kSteadyPollPeriodPerHost * m_watchedHosts.size());
}

void HostWatcher::record(HostId host, const std::optional<HostObservation> &observation)
{
    const Sequence sequence = m_sequence();
    const std::lock_guard lock(m_mutex);
    WatchedHost &watched = m_watchedHosts[host];
    watched.isBeingPolled = false;
    if (observation) {
        watched.failures = 0;
        watched.observation = *observation;
        watched.observationTime = timeNow();
        return;
    }
    if (++watched.failures < kFailuresUntilUnhealthy)
        return;
    watched.observation.health = Health::Unhealthy;
    watched.observation.observedAt = sequence;
    watched.observationTime = timeNow();
}

} // namespace oleanderhall
