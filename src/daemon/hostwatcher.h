#pragma once

#include "oleanderhall/core/time.h"
#include "oleanderhall/fleet/observations.h"
#include "oleanderhall/fleet/workercommand.h"
#include "oleanderhall/platform/hostlist.h"
#include "oleanderhall/platform/workerclient.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace oleanderhall {

/// Internal: tells the workers of the owned pools what to run and asks them for their state, with a
/// few threads of its own. An observation carries the sequence at which its poll began.
class HostWatcher
{
public:
    HostWatcher(WorkerClient client, std::function<Sequence()> sequence, int threads);
    ~HostWatcher();
    HostWatcher(const HostWatcher &) = delete;
    HostWatcher &operator=(const HostWatcher &) = delete;

    /// Watches exactly these hosts; true marks those that are due often.
    void watch(const std::map<HostId, bool> &hosts);
    /// Sends a command as soon as possible. A later command to the same host replaces it.
    void send(const WorkerCommand &command, std::string body);
    void setHostList(const HostList &list);
    std::map<HostId, HostObservation> observations(Instant now) const;
    std::uint64_t pollCount() const;

private:
    struct WatchedHost
    {
        bool isPolledOften = false;
        bool isBeingPolled = false;
        int failures = 0;
        Instant nextPoll;
        Instant observationTime;
        HostObservation observation;
        std::optional<WorkerCommand> command;
        std::string body;
    };
    struct PollTask
    {
        HostId host;
        std::optional<WorkerCommand> command;
        std::string body;
    };

    void run();
    std::optional<PollTask> takePollTask();
    void execute(const PollTask &job);
    Millis steadyPollPeriod() const;
    void record(HostId host, const std::optional<HostObservation> &observation);

    WorkerClient m_client;
    std::function<Sequence()> m_sequence;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_isStopping = false;
    std::uint64_t m_pollCount = 0;
    std::map<HostId, WatchedHost> m_watchedHosts;
    HostList m_hostList;
    std::vector<std::thread> m_threads;
};

} // namespace oleanderhall
