#pragma once

#include "oleanderhall/ownership/ownership.h"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace oleanderhall::test {

/// Simulates processes that compete for ownership through one table. A process reads the table with
/// long polls; a poll that was in flight during an outage fails only at its time limit, so each
/// process notices the end of an outage at another time.
class OwnershipWorld
{
public:
    struct Change
    {
        Millis at{0};
        std::string owner; ///< Empty for a planned hand-over.
    };

    /// The delay before the next poll after one that was refused.
    static constexpr Millis kPollRetryDelay{200};

    /// Adds a process that starts at `start`. Polls of the process during an outage fail and are
    /// sent again after `retryInterval`.
    void add(const std::string &name, double cores, Millis jitter, Millis start,
             Millis retryInterval)
    {
        OwnershipSettings settings;
        settings.processorCores = cores;
        settings.jitter = jitter;
        m_processes[name] = {.settings = settings, .start = start, .retryInterval = retryInterval};
    }
    /// The table answers none of the processes in `names` from `from` to `until`; without names,
    /// it answers nobody.
    void addOutage(Millis from, Millis until, std::vector<std::string> names = {})
    {
        m_outages.push_back({from, until, std::move(names)});
    }
    /// The process does nothing between `from` and `until`; its calls in flight go on.
    void pause(const std::string &name, Millis from, Millis until)
    {
        m_processes.at(name).pausedFrom = from;
        m_processes.at(name).pausedUntil = until;
    }
    void kill(const std::string &name) { m_processes.at(name).ownership.reset(); }
    /// Starts the process anew at `at`.
    void restart(const std::string &name, Millis at)
    {
        Process &process = m_processes.at(name);
        process = {
            .settings = process.settings, .start = at, .retryInterval = process.retryInterval};
    }
    /// Kills all processes and starts each at the time that `nextStart` returns.
    template <typename NextStart>
    void restartAll(NextStart nextStart)
    {
        for (auto &[name, process] : m_processes)
            restart(name, nextStart());
    }
    /// Writes the owner's record of a planned hand-over, which the table carries out at `applied`.
    void handOverLate(Millis applied) { m_lateHandOver = applied; }
    /// From now on, the event loop of any process that is the owner lags this much.
    void setOwnersLag(Millis lag) { m_ownersLag = lag; }
    void setTerm(TermRecord term)
    {
        m_term = std::move(term);
        m_version = std::max(m_version, m_term.version);
    }

    void runUntil(Millis end)
    {
        for (; m_time < end; m_time += kStep) {
            applyLateHandOver();
            int senders = 0;
            for (auto &[name, process] : m_processes) {
                if (m_time >= process.pausedFrom && m_time < process.pausedUntil)
                    continue;
                // What a resumed process may do before it has handled any event.
                senders += process.ownership && process.ownership->maySendCommands(instant(m_time));
                step(name, process);
            }
            m_mostSenders = std::max(m_mostSenders, senders);
        }
    }

    const std::string &owner() const { return m_term.owner; }
    double ownerCores() const { return m_processes.at(m_term.owner).settings.processorCores; }
    const std::vector<Change> &changes() const { return m_changes; }
    /// Returns the largest number of processes that could send commands at one time.
    int mostSenders() const { return m_mostSenders; }
    Millis time() const { return m_time; }

private:
    static constexpr Millis kStep{10};
    static constexpr Millis kLongPoll{1000};
    static constexpr Millis kWriteTimeout{1500};

    struct Process
    {
        OwnershipSettings settings;
        std::optional<Millis> start; ///< Empty once it has started.
        Millis retryInterval{0};
        std::unique_ptr<Ownership> ownership;
        Millis pollSent{0};
        bool isPollLost = false;
        std::uint64_t seenVersion = 0;
        Millis pausedFrom{0};
        Millis pausedUntil{0};
        std::optional<Millis> writeFails; ///< When the write in flight times out.
        Ownership::Step write = Ownership::Step::None;
    };
    struct CandidateRow
    {
        Candidate candidate;
        std::uint64_t version = 0;
    };
    struct Outage
    {
        Millis from;
        Millis until;
        std::vector<std::string> names;
    };

    static Instant instant(Millis time) { return Instant(std::chrono::hours(1)) + time; }

    bool isCutOff(const std::string &name) const
    {
        return std::any_of(m_outages.begin(), m_outages.end(), [&](const Outage &outage) {
            return m_time >= outage.from && m_time < outage.until
                && (outage.names.empty()
                    || std::find(outage.names.begin(), outage.names.end(), name)
                        != outage.names.end());
        });
    }

    void applyLateHandOver()
    {
        if (!m_lateHandOver || m_time < *m_lateHandOver)
            return;
        m_lateHandOver.reset();
        m_term.owner.clear();
        m_term.version = ++m_version;
        m_changes.push_back({m_time, {}});
    }

    void step(const std::string &name, Process &process)
    {
        if (process.start && m_time >= *process.start) {
            process.start.reset();
            process.ownership = std::make_unique<Ownership>(name, process.settings,
                                                            instant(m_time));
            process.pollSent = m_time - kLongPoll;
        }
        if (!process.ownership)
            return;
        process.ownership->setLoopLag(process.ownership->isOwner() ? m_ownersLag : Millis(0));
        poll(name, process);
        announce(name, process);
        if (process.writeFails) {
            if (m_time >= *process.writeFails)
                finishWrite(process, false, false, m_time - kWriteTimeout);
            return;
        }
        process.write = process.ownership->nextStep(instant(m_time));
        if (process.write == Ownership::Step::None)
            return;
        if (isCutOff(name))
            process.writeFails = m_time + kWriteTimeout;
        else
            write(name, process);
    }

    void poll(const std::string &name, Process &process)
    {
        process.isPollLost = process.isPollLost || isCutOff(name);
        if (process.isPollLost) {
            if (m_time >= process.pollSent + process.retryInterval) {
                process.isPollLost = isCutOff(name);
                process.pollSent = m_time;
            }
            if (process.isPollLost)
                return;
        }
        if (process.seenVersion == m_version && m_time < process.pollSent + kLongPoll)
            return;
        process.pollSent = m_time;
        // The first read of a process is a snapshot.
        for (const auto &[candidate, row] : m_candidates)
            process.ownership->onAnnouncement(candidate, row.candidate, row.version,
                                              process.seenVersion > 0, instant(m_time));
        process.seenVersion = m_version;
        process.ownership->onRecordsRead(m_term, m_heartbeat, instant(m_time));
    }

    void announce(const std::string &name, Process &process)
    {
        if (!process.ownership->isAnnouncementDue(instant(m_time)))
            return;
        process.ownership->onAnnounced(instant(m_time));
        if (!isCutOff(name))
            m_candidates[name] = {process.ownership->candidate(instant(m_time)), ++m_version};
    }

    void write(const std::string &name, Process &process)
    {
        const TermRecord &known = process.ownership->term();
        if (known.version != m_term.version
            || (process.write == Ownership::Step::TakeOver
                && process.ownership->heartbeatVersion() != m_heartbeat)) {
            finishWrite(process, false, true, m_time);
            return;
        }
        if (process.write == Ownership::Step::HandOver) {
            process.ownership->relinquish(instant(m_time));
            m_term.owner.clear();
            m_term.version = ++m_version;
            m_changes.push_back({m_time, {}});
            return;
        }
        m_heartbeat = ++m_version;
        if (process.write == Ownership::Step::TakeOver) {
            m_term = {.owner = name,
                      .generation = m_term.generation + 1,
                      .version = m_version,
                      .processorCores = process.settings.processorCores};
            m_changes.push_back({m_time, name});
        }
        finishWrite(process, true, false, m_time);
    }

    void finishWrite(Process &process, bool isDone, bool isConflict, Millis sent)
    {
        process.writeFails.reset();
        if (process.write == Ownership::Step::TakeOver)
            process.ownership->onTakeOverResult(isDone, m_version, instant(sent), instant(m_time));
        else
            process.ownership->onRenewResult(isDone, isConflict, m_version, instant(sent),
                                             instant(m_time));
    }

    Millis m_time{0};
    int m_mostSenders = 0;
    Millis m_ownersLag{0};
    std::map<std::string, Process> m_processes;
    std::vector<Outage> m_outages;
    std::optional<Millis> m_lateHandOver;
    std::map<std::string, CandidateRow> m_candidates;
    TermRecord m_term;
    std::uint64_t m_heartbeat = 0;
    std::uint64_t m_version = 0;
    std::vector<Change> m_changes;
};

} // namespace oleanderhall::test
