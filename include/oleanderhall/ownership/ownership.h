#pragma once

#include "oleanderhall/core/ids.h"
#include "oleanderhall/core/time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace oleanderhall {

/// The stored record of who owns the fleet's decisions. It changes only when they change hands.
struct TermRecord
{
    std::string owner; ///< Empty when the last owner has handed over.
    std::int64_t generation = 0; ///< Counts the changes of hands.
    std::uint64_t version = 0; ///< Of its row: the owner's fencing token. 0: no row.
    double processorShare = 0; ///< The last owner's, in cores. 0: not known.
};

/// Of a core: a process with less is weak, whatever the others have. One owner took up to 0.15 of a
/// core on 349 hosts (docs/CAPACITY.md).
inline constexpr double kSufficientShare = 0.2;

/// Limits of ownership. Each is the project's own.
struct OwnershipSettings
{
    /// Without a renewal for this long, others may take over.
    Millis lease{2000};
    /// The owner stops giving orders this long before others may take over.
    Millis margin{250};
    Millis renewInterval{500};
    /// The owner extends leases of running tasks this long after its last renewal. With the
    /// workers' own lease it bounds what an outage of the table ends, and what a new owner waits
    /// for where it can't look.
    Millis leaseExtensionTime{3500};
    Millis retryDelay{150}; ///< After a failed renewal or take-over.
    Millis jitter{0}; ///< Added to `lease` before taking over, so that not all try at once.
    double processorShare = 1; ///< This process's, in cores.
    /// How much longer a process waits that has less processor time than the last owner had. Well
    /// over the jitter, so that any process as strong as the last owner comes first; a fleet that
    /// a weak owner decides for loses more than this.
    Millis belowOwnerDelay{1500};
    /// The same for a weak process where the last owner was weak, too: as long as the jitter may
    /// be.
    Millis lowShareDelay{300};
    /// The owner's silence counts only while this process itself hears from the table. A longer
    /// pause between two answers than this is one without contact: over the wait of one read that
    /// finds nothing new, and the time for it.
    Millis maxContactGap{1600};
};

/// Ownership decides when this process may act as the owner, renew or take over. It does no I/O.
/// All times are from before a call was sent, so a slow answer or a pause never makes a lease
/// longer than it is.
class Ownership
{
public:
    Ownership(std::string self, OwnershipSettings settings, Instant now);

    enum class Step { None, TakeOver, Renew };
    /// Returns what to send now. Each step must be answered before the next is returned.
    Step nextStep(Instant now);
    /// Takes the term's and the heartbeat's rows, as just read.
    void recordsRead(const TermRecord &term, std::uint64_t heartbeatVersion, Instant now);
    /// `version` is the transaction's; meaningful when `isDone`.
    void takeOverAnswered(bool isDone, std::uint64_t version, Instant sent, Instant now);
    /// `isLost`: the term's row has changed, thus another process owns.
    void renewAnswered(bool isDone, bool isLost, std::uint64_t version, Instant sent, Instant now);
    /// Gives ownership up, as for a planned stop.
    void resign() { m_isEligible = false; }

    bool isOwner() const { return m_isOwner; }
    /// Returns whether orders may be given.
    bool maySendCommands(Instant now) const
    {
        return m_isOwner && now < m_lastRenewal + m_settings.lease - m_settings.margin;
    }
    /// Returns whether leases of running tasks may be extended.
    bool mayExtendLeases(Instant now) const
    {
        return m_isOwner && now < m_lastRenewal + m_settings.leaseExtensionTime;
    }
    const TermRecord &term() const { return m_term; }
    std::uint64_t heartbeatVersion() const { return m_heartbeatVersion; }
    /// Returns whether the owner's heartbeat was seen within its lease.
    bool isOwnerAlive(Instant now) const { return now - m_lastChange <= m_settings.lease; }

private:
    Millis takeOverDelay() const;

    std::string m_self;
    OwnershipSettings m_settings;
    TermRecord m_term;
    std::uint64_t m_heartbeatVersion = 0;
    bool m_wasRead = false;
    bool m_isOwner = false;
    bool m_isEligible = true;
    bool m_isCallInFlight = false;
    std::int64_t m_nextGeneration = 0; ///< Of the take-over that is under way.
    /// When the rows were last seen to change, or when contact with the table was regained.
    Instant m_lastChange;
    Instant m_lastContact; ///< When the rows were last read.
    Instant m_lastRenewal; ///< When the last successful renewal was sent.
    Instant m_nextAttempt;
};

} // namespace oleanderhall
