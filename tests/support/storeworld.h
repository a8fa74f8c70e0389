#pragma once

#include "oleanderhall/jobs/storequeue.h"

#include <algorithm>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <vector>

namespace oleanderhall::test {

/// The behaviour of a simulated table.
struct SimulatedTable
{
    Millis duration{4}; ///< Of each transaction; a partition executes them one at a time.
    bool isSilent = false; ///< No call is answered; half of the transactions take effect later.
    double lostShare = 0; ///< Transactions that take effect and whose answer is lost.
    double lateShare = 0; ///< Transactions that take effect 1 s to 6 s later, without an answer.
    double refusedShare = 0; ///< Transactions that are refused, besides those beyond the queue.
};

/// Simulates entry hosts that store jobs in the partitions of one table, each with a StoreQueue for
/// every partition and a TableSilence, and callers that wait for the outcome.
class StoreWorld
{
public:
    /// What a caller was told.
    struct Call
    {
        JobId id;
        Instant deadline;
        std::optional<StoreOutcome> outcome;
        Instant answered;
    };
    struct Count
    {
        int stored = 0;
        int refused = 0;
        int unknown = 0;
    };

    StoreWorld(unsigned seed, int hosts, int partitions)
        : m_random(seed)
        , m_freeAt(static_cast<std::size_t>(partitions))
    {
        for (int host = 0; host < hosts; ++host)
            m_hosts.push_back({.queues = std::vector<StoreQueue>(m_freeAt.size())});
    }

    SimulatedTable table;
    std::vector<Call> calls;
    Instant now{std::chrono::hours(1)};

    /// A call of the job `number` arrives at a random host.
    void submit(std::uint64_t number, Millis limit = Millis(2800))
    {
        Host &host = m_hosts[m_random() % m_hosts.size()];
        const std::size_t partition = number % m_freeAt.size();
        StoreQueue &queue = host.queues[partition];
        const JobId id{number};
        calls.push_back({.id = id, .deadline = now + limit});
        if (!queue.contains(id) && !queue.admits(now + limit, false, host.silence.stage(now), now))
            answer({calls.size() - 1, StoreOutcome::Refused});
        else
            queue.add(id, 100, calls.size() - 1, now + limit, false);
        step(host, partition);
    }

    /// Advances the time. Hosts act on answers at once and otherwise every 50 ms.
    void run(Millis time)
    {
        const Instant end = now + time;
        while (now < end) {
            now += Millis(1);
            while (!m_events.empty() && m_events.begin()->first <= now) {
                const auto event = std::move(m_events.begin()->second);
                m_events.erase(m_events.begin());
                event();
            }
            if (now.time_since_epoch() % StoreQueue::kTickInterval == Millis(0)) {
                for (Host &host : m_hosts) {
                    host.silence.observe(now);
                    probe(host);
                    for (std::size_t partition = 0; partition < m_freeAt.size(); ++partition)
                        step(host, partition);
                }
            }
        }
    }

    /// Submits `perSecond` jobs a second, evenly spread, for `time`.
    void load(double perSecond, Millis time)
    {
        const Instant end = now + time;
        double due = 0;
        while (now < end) {
            run(Millis(10));
            for (due += perSecond / 100; due >= 1; --due)
                submit(++m_lastJob);
        }
    }

    Count count() const
    {
        Count result;
        for (const Call &call : calls) {
            result.refused += call.outcome == StoreOutcome::Refused ? 1 : 0;
            result.unknown += call.outcome == StoreOutcome::Unknown ? 1 : 0;
            result.stored += call.outcome == StoreOutcome::Stored
                    || call.outcome == StoreOutcome::AlreadyStored
                ? 1
                : 0;
        }
        return result;
    }

    /// Returns how often transactions have stored the job.
    int timesStored(JobId id) const
    {
        const auto row = m_rows.find(id);
        return row == m_rows.end() ? 0 : row->second;
    }
    bool isDrawn(double share) { return std::uniform_real_distribution<>(0, 1)(m_random) < share; }
    unsigned draw(unsigned below) { return static_cast<unsigned>(m_random() % below); }
    int answersBeforeTheRow() const { return m_answersBeforeTheRow; }
    int transactions() const { return m_transactions; }

private:
    struct Host
    {
        TableSilence silence;
        std::vector<StoreQueue> queues; ///< By partition.
        Instant nextProbe{};
    };
    using Result = StoreQueue::Result;

    void at(Instant time, std::function<void()> event) { m_events.emplace(time, std::move(event)); }

    void answer(const StoreQueue::Answer &answer)
    {
        Call &call = calls[answer.caller];
        if (call.outcome)
            std::abort(); // a caller is answered once
        call.outcome = answer.outcome;
        call.answered = now;
        const bool isStored = answer.outcome == StoreOutcome::Stored
            || answer.outcome == StoreOutcome::AlreadyStored;
        m_answersBeforeTheRow += isStored && timesStored(call.id) == 0 ? 1 : 0;
    }

    void step(Host &host, std::size_t partition)
    {
        const StoreQueue::Step step = host.queues[partition].tick(host.silence.stage(now), now);
        if (!step.batch.empty())
            transact(host, partition, step);
        for (const JobId id : step.reads)
            read([this, &host, partition, id] {
                if (timesStored(id) > 0) {
                    host.queues[partition].onRowFound(id, 1);
                    this->step(host, partition);
                }
            });
        for (const StoreQueue::Answer &entry : step.answers)
            answer(entry);
    }

    /// Applies a transaction and returns the jobs of it that were stored before.
    std::set<JobId> apply(const std::vector<JobId> &jobs)
    {
        std::set<JobId> stored;
        for (const JobId id : jobs) {
            if (timesStored(id) > 0)
                stored.insert(id);
        }
        for (const JobId id : jobs)
            m_rows[id] += stored.empty() ? 1 : 0;
        return stored;
    }

    void transact(Host &host, std::size_t partition, const StoreQueue::Step &step)
    {
        ++m_transactions;
        const Instant sentAt = now;
        host.silence.onSent(sentAt);
        const auto finish = [this, &host, partition, sentAt](Result result,
                                                             const std::set<JobId> &stored) {
            if (result == Result::Unanswered)
                host.silence.onUnanswered(sentAt);
            else
                host.silence.onAnswered(sentAt, now);
            host.queues[partition].onBatchResult(result, 1, stored, now);
            this->step(host, partition);
        };
        const Instant timeout = now + step.timeout;
        const auto jobs = step.batch;
        const auto applyLater = [this, jobs] { apply(jobs); };
        Instant &freeAt = m_freeAt[partition];
        if (table.isSilent) {
            if (isDrawn(0.5))
                at(now + Millis(1000 + draw(5000)), applyLater);
            at(timeout, [finish] { finish(Result::Unanswered, {}); });
        } else if (freeAt > now + Millis(1000) || isDrawn(table.refusedShare)) {
            at(now + table.duration, [finish] { finish(Result::Refused, {}); });
        } else {
            freeAt = std::max(freeAt, now) + table.duration;
            if (isDrawn(table.lateShare)) {
                at(freeAt + Millis(1000 + draw(5000)), applyLater);
                at(timeout, [finish] { finish(Result::Unanswered, {}); });
            } else if (isDrawn(table.lostShare) || freeAt >= timeout) {
                at(freeAt, applyLater);
                at(timeout, [finish] { finish(Result::Unanswered, {}); });
            } else {
                at(freeAt, [this, jobs, finish] {
                    const std::set<JobId> stored = apply(jobs);
                    finish(stored.empty() ? Result::Done : Result::Conflict, stored);
                });
            }
        }
    }

    void read(std::function<void()> done)
    {
        if (!table.isSilent)
            at(now + table.duration, std::move(done));
    }

    void probe(Host &host)
    {
        if (now < host.nextProbe || host.silence.stage(now) == TableSilence::Stage::Answering)
            return;
        host.nextProbe = now + Millis(250);
        host.silence.onSent(now);
        const bool isAnswered = !table.isSilent;
        at(now + (isAnswered ? table.duration : Millis(700)),
           [this, &host, isAnswered, sentAt = now] {
               if (isAnswered)
                   host.silence.onAnswered(sentAt, now);
               else
                   host.silence.onUnanswered(sentAt);
           });
    }

    std::mt19937 m_random;
    std::vector<Instant> m_freeAt; ///< When each partition has executed its queue.
    std::vector<Host> m_hosts;
    std::multimap<Instant, std::function<void()>> m_events;
    std::map<JobId, int> m_rows;
    std::uint64_t m_lastJob = 0;
    int m_answersBeforeTheRow = 0;
    int m_transactions = 0;
};

} // namespace oleanderhall::test
