#pragma once

#include "oleanderhall/core/ids.h"
#include "oleanderhall/scheduling/orderingpolicy.h"

#include <algorithm>
#include <cstddef>
#include <limits>
#include <utility>
#include <vector>

namespace oleanderhall {

/// The TeamQueues of a pool hold the waiting steps of each team and yield them in the order of a
/// policy. They are filled at a ranking and used in several rounds. In a round, each call of next()
/// is followed by one of keep(), repeat() and drop(). With one team, the order is that of the
/// policy's isBefore(), and steps that are equal keep the order in which they were added.
template <OrderingPolicy Policy, typename Item>
class TeamQueues
{
public:
    /// Removes all items.
    void clear() { m_queues.clear(); }
    void add(TeamId team, const StepStanding &standing, Item item)
    {
        queueOf(team).entries.push_back({standing, std::move(item)});
    }
    /// Orders the items; must be called after the last add().
    void sort()
    {
        for (Queue &queue : m_queues)
            std::stable_sort(queue.entries.begin(), queue.entries.end(), isBefore);
        std::sort(m_queues.begin(), m_queues.end(),
                  [](const Queue &a, const Queue &b) { return a.team < b.team; });
    }

    std::size_t teamCount() const { return m_queues.size(); }
    std::size_t size() const
    {
        std::size_t sum = 0;
        for (const Queue &queue : m_queues)
            sum += queue.entries.size();
        return sum;
    }

    /// Calls `visit` with each item, team by team, until it returns false.
    template <typename Visit>
    void forEach(Visit visit) const
    {
        for (const Queue &queue : m_queues) {
            for (const Entry &entry : queue.entries) {
                if (!visit(entry.item))
                    return;
            }
        }
    }

    /// Begins a round at the first item of each team. `standingOf` returns the TeamStanding of a
    /// team.
    template <typename StandingOf>
    void beginRound(StandingOf standingOf)
    {
        m_current = nullptr;
        for (Queue &queue : m_queues) {
            queue.standing = standingOf(queue.team);
            queue.next = 0;
            queue.kept = 0;
            queue.refusals = 0;
            queue.isBlocked = false;
        }
    }
    /// Returns the item to try next, or nullptr at the end of the round.
    const Item *next()
    {
        m_current = nullptr;
        m_rivalOrder = kLast;
        Order lowest = kLast;
        for (Queue &queue : m_queues) {
            const Order order = orderOf(queue);
            if (order < lowest) {
                m_rivalOrder = lowest;
                lowest = order;
                m_current = &queue;
            } else {
                m_rivalOrder = std::min(m_rivalOrder, order);
            }
        }
        return m_current ? &m_current->entries[m_current->next].item : nullptr;
    }
    /// Keeps the item for later rounds.
    void keep()
    {
        Queue &queue = *m_current;
        if (queue.kept != queue.next)
            queue.entries[queue.kept] = std::move(queue.entries[queue.next]);
        ++queue.kept;
        ++queue.next;
    }
    /// Leaves the item as its team's first one.
    void repeat() {}
    /// Removes the item.
    void drop() { ++m_current->next; }
    /// Yields no more items of the current item's team in this round.
    void block() { m_current->isBlocked = true; }
    /// Counts that an item of the team could not be started, and returns the count of this round.
    std::size_t countRefusal() { return ++m_current->refusals; }
    /// Adds what a start of the current item uses.
    void addRunning(const Resources &used) { m_current->standing.running += used; }
    /// Returns whether no other team precedes the team of the current item.
    bool isCurrentFirst() const { return !(m_rivalOrder < orderOf(*m_current)); }
    /// Ends a round.
    void endRound()
    {
        m_current = nullptr;
        for (Queue &queue : m_queues) {
            const auto begin = queue.entries.begin();
            queue.entries.erase(begin + static_cast<std::ptrdiff_t>(queue.kept),
                                begin + static_cast<std::ptrdiff_t>(queue.next));
        }
    }

private:
    struct Entry
    {
        StepStanding standing;
        Item item;
    };
    struct Queue
    {
        TeamId team;
        std::vector<Entry> entries;
        TeamStanding standing;
        std::size_t next = 0; ///< The first item that was not tried in this round.
        std::size_t kept = 0; ///< The number of tried items that remain.
        std::size_t refusals = 0;
        bool isBlocked = false;
    };
    using Order = std::pair<int, double>; ///< The class of a step, and its team's key.

    static constexpr Order kLast{std::numeric_limits<int>::max(), 0};

    static bool isBefore(const Entry &a, const Entry &b)
    {
        if (a.standing.stepClass != b.standing.stepClass)
            return a.standing.stepClass < b.standing.stepClass;
        return Policy::isBefore(a.standing, b.standing);
    }
    static Order orderOf(const Queue &queue)
    {
        if (queue.isBlocked || queue.next >= queue.entries.size())
            return kLast;
        const StepStanding &first = queue.entries[queue.next].standing;
        return {static_cast<int>(first.stepClass), Policy::keyOf(queue.standing, first)};
    }
    Queue &queueOf(TeamId team)
    {
        for (Queue &queue : m_queues) {
            if (queue.team == team)
                return queue;
        }
        return m_queues.emplace_back(Queue{.team = team});
    }

    std::vector<Queue> m_queues; ///< One for each team with waiting steps.
    Queue *m_current = nullptr; ///< Of the item that next() returned.
    Order m_rivalOrder = kLast; ///< The lowest of the other teams.
};

} // namespace oleanderhall
