#include "hostwatcher.h"

#include "log.h"

namespace oleanderhall {

namespace {

constexpr Millis kOftenPeriod{200};
constexpr Millis kShortestSteadyPeriod{2000};
constexpr Millis kPollSpacing{500}; // between polls of steady hosts, so that cost has a limit
constexpr int kPeriodsUntilExpiry = 4;
constexpr Millis kLongestIdle{100};
constexpr int kFailuresUntilUnfit = 2;

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
    std::erase_if(m_watches, [&hosts](const auto &item) {
        return !hosts.contains(item.first) && !item.second.isBusy;
    });
    for (const auto &[host, isOften] : hosts) {
        Watch &watch = m_watches[host];
        if (isOften && !watch.isOften)
            watch.due = timeNow();
        watch.isOften = isOften;
    }
    m_changed.notify_all();
}

void HostWatcher::send(const WorkerCommand &command, std::string body)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_watches.find(command.host);
    if (found == m_watches.end())
        return;
    found->second.command = command;
    found->second.body = std::move(body);
}

void HostWatcher::setHostList(const HostList &list)
{
    const std::lock_guard lock(m_mutex);
    m_list = list;
}

std::map<HostId, HostObservation> HostWatcher::observations(Instant now) const
{
    const std::lock_guard lock(m_mutex);
    std::map<HostId, HostObservation> result;
    const Millis expiry = kPeriodsUntilExpiry * steadyPeriod();
    for (const auto &[host, watch] : m_watches) {
        HostObservation seen = watch.seen;
        if (now - watch.seenAt > expiry)
            seen.health = Health::Unknown;
        const auto listed = m_list.find(host.name());
        seen.leaving = listed != m_list.end() && listed->second == ListedState::Leaving;
        result.emplace(host, seen);
    }
    return result;
}

std::uint64_t HostWatcher::polls() const
{
    const std::lock_guard lock(m_mutex);
    return m_polls;
}

void HostWatcher::run()
{
    for (;;) {
        const std::optional<Job> job = takeJob();
        if (!job)
            return;
        perform(*job);
    }
}

std::optional<HostWatcher::Job> HostWatcher::takeJob()
{
    std::unique_lock lock(m_mutex);
    for (;;) {
        if (m_isStopping)
            return std::nullopt;
        const Instant now = timeNow();
        for (auto &[host, watch] : m_watches) {
            if (watch.isBusy || watch.due > now)
                continue;
            watch.isBusy = true;
            watch.due = now + (watch.isOften ? kOftenPeriod : steadyPeriod());
            ++m_polls;
            return Job{host, std::exchange(watch.command, std::nullopt), std::move(watch.body)};
        }
        m_changed.wait_for(lock, kLongestIdle);
    }
}

void HostWatcher::perform(const Job &job)
{
    const Sequence sequence = m_sequence();
    try {
        if (job.command)
            m_client.send(*job.command, job.body);
    } catch (const std::exception &error) {
        logWarning("worker_command_failed", {{"host", job.host.name()}, {"error", error.what()}});
    }
    try {
        HostObservation seen = m_client.observe(job.host);
        seen.observedAt = sequence;
        record(job.host, seen);
    } catch (const std::exception &) {
        record(job.host, std::nullopt);
    }
}

Millis HostWatcher::steadyPeriod() const
{
    return std::max<Millis>(kShortestSteadyPeriod, kPollSpacing * m_watches.size());
}

void HostWatcher::record(HostId host, const std::optional<HostObservation> &seen)
{
    const Sequence sequence = m_sequence();
    const std::lock_guard lock(m_mutex);
    Watch &watch = m_watches[host];
    watch.isBusy = false;
    if (seen) {
        watch.failures = 0;
        watch.seen = *seen;
        watch.seenAt = timeNow();
        return;
    }
    if (++watch.failures < kFailuresUntilUnfit)
        return;
    watch.seen.health = Health::Unhealthy;
    watch.seen.observedAt = sequence;
    watch.seenAt = timeNow();
}

} // namespace oleanderhall
