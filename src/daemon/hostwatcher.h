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

/// Internal: sends commands to the workers on the hosts of the owned pools and polls their state,
/// on threads of its own. An observation carries the sequence of the view at the start of its poll,
/// or at the end of the poll if the worker didn't respond.
class HostWatcher
{
public:
    /// Starts `threads` polling threads. `sequence` returns the sequence of the current view and is
    /// called from these threads.
    HostWatcher(WorkerClient client, std::function<Sequence()> sequence, int threads);
    ~HostWatcher();
    HostWatcher(const HostWatcher &) = delete;
    HostWatcher &operator=(const HostWatcher &) = delete;

    /// Replaces the set of watched hosts. Hosts with the value true are polled at the short period.
    void watch(const std::map<HostId, bool> &hosts);
    /// Queues a command, which is sent just before the host's next poll. It replaces a command that
    /// is still queued for the host, and is dropped if the host isn't watched.
    void send(const WorkerCommand &command, std::string body);
    /// Sets the platform's host list, which tells which hosts are leaving.
    void setHostList(const HostList &list);
    /// Returns the latest observation of each watched host. Its health is Unknown if it is too old.
    std::map<HostId, HostObservation> observations(Instant now) const;
    /// Returns the number of polls since the start.
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
    /// Waits until a host is due and marks it as being polled. Returns nothing when the watcher is
    /// stopping.
    std::optional<PollTask> takePollTask();
    void execute(const PollTask &task);
    Millis steadyPollPeriod() const;
    /// Stores the result of a poll; no observation means that the worker didn't respond.
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
