#pragma once

#include "oleanderhall/core/time.h"

#include <optional>
#include <set>

namespace oleanderhall {

/// A TableSpeed decides whether the table service is slow, from the durations of transactions. A
/// partition executes its transactions one after another; when each takes long, the jobs of a
/// partition are better written by one node in large batches than by every node in small ones. A
/// node that passes its jobs on has no transactions of its own; it then learns the durations from
/// the answers of the node that writes.
class TableSpeed
{
public:
    /// Durations from which a transaction is slow and up to which it is fast. A usual one takes
    /// 10 ms, and 100 ms when 30 nodes write to one partition at once; one of a slow table takes
    /// 180 ms or more.
    static constexpr Millis kSlowFrom{150};
    static constexpr Millis kFastUpTo{60};
    /// A transaction that takes this long, whether it is answered or not, shows a slow table by
    /// itself.
    static constexpr Millis kSlowInFlight{300};
    /// Successive slow or fast transactions that change the decision. One slow one can be a lost
    /// packet, one fast one a transaction that found its partition idle.
    static constexpr int kSlowToEnter = 2;
    static constexpr int kFastToLeave = 3;
    /// How long one observation counts; afterwards the node's own transactions measure again.
    static constexpr Millis kMemory{5000};
    /// For how long a measured duration is reported to other nodes. A duration from before the
    /// table became slow would make them write themselves.
    static constexpr Millis kReportLifetime{500};

    /// Records that a transaction of this node is sent at `now`.
    void onSent(Instant now) { m_inFlight.insert(now); }
    /// Records that the transaction sent at `sentAt` was executed.
    void onExecuted(Instant sentAt, Instant now);
    /// Records that the transaction was rejected because its partition has too long a queue, which
    /// shows a slow table by itself: the queue holds one second of transactions.
    void onQueueFull(Instant sentAt, Instant now);
    /// Records that the transaction ended in another way, such as without an answer.
    void onFailed(Instant sentAt, Instant now);
    /// Records the duration of a transaction of another node.
    void onReported(Millis duration, Instant now) { observe(duration, now); }

    bool isSlow(Instant now) const;
    /// Returns the duration of the latest executed transaction of this node, or the time that one
    /// has been in flight for if that is longer. Returns nothing if neither is recent.
    std::optional<Millis> latestDuration(Instant now) const;

private:
    void removeInFlight(Instant sentAt);
    void observe(Millis duration, Instant now);
    void enterSlow(Instant now);

    std::multiset<Instant> m_inFlight; ///< When each was sent.
    bool m_isSlow = false;
    int m_slowInARow = 0;
    int m_fastInARow = 0;
    Instant m_lastSlow{}; ///< When a slow transaction was last observed.
    std::optional<Millis> m_duration; ///< Of the latest executed transaction of this node.
    Instant m_measuredAt{};
};

} // namespace oleanderhall
