#pragma once

#include "oleanderhall/core/ids.h"
#include "oleanderhall/core/time.h"
#include "oleanderhall/ownership/candidacytimer.h"
#include "oleanderhall/ownership/candidate.h"
#include "oleanderhall/ownership/candidatelist.h"

#include <cstdint>
#include <optional>
#include <string>

namespace oleanderhall {

/// The stored record of the owner, the process that makes all decisions for the fleet. It is
/// written only when ownership changes.
struct TermRecord
{
    std::string owner; ///< Empty after a planned hand-over.
    std::int64_t generation = 0; ///< Counts the changes of ownership.
    std::uint64_t version = 0; ///< The row's version, used as fencing token; 0 if there is no row.
    double processorCores = 0; ///< The last owner's processor time in cores; 0 if not known.
};

/// Time limits of ownership, and this process's share of the processor.
struct OwnershipSettings
{
    /// Other processes may take over when the owner has not renewed its lease for this long.
    Millis lease{2000};
    /// The owner stops sending commands this long before its lease expires.
    Millis margin{250};
    Millis renewInterval{500};
    /// The owner extends leases of running tasks until this long after its last renewal. Together
    /// with the workers' lease this bounds how long running tasks survive an outage of the table,
    /// and how long a new owner waits for workers that it can't reach.
    Millis leaseExtensionTime{3500};
    Millis retryDelay{150}; ///< The delay after a failed renewal or take-over.
    Millis jitter{0}; ///< Added to `lease` before a take-over, so that processes don't collide.
    double processorCores = 1; ///< This process's processor time in cores.
    /// The extra wait before a take-over by a process that a known candidate or the last owner
    /// outranks. A host that was cut off from the table notices up to 1.9 s later that it answers
    /// again, and takes over after the lease, the jitter and one attempt.
    Millis outrankedDelay{3000};
    /// The longest time from the owner's last sign of life to a take-over by an outranked process
    /// while more capable candidates announce themselves without taking over.
    Millis maxOutrankedWait{8000};
    /// Time that a candidate gets after its announcement, beyond the lease and the jitter, to write
    /// its take-over to a slow table.
    Millis announcedTakeOverTime{700};
    /// The extra wait of a process below kSufficientCores in a deployment without an owner so far:
    /// larger hosts that start at the same time announce themselves within this time.
    Millis firstTermDelay{1500};
    /// The extra wait of a process below kSufficientCores that nobody is known to outrank. It
    /// equals the longest jitter.
    Millis fewCoresDelay{300};
    Millis maxJitter{300}; ///< The longest `jitter` of any process.
    /// The shortest term that a process ends because a more capable candidate is alive.
    Millis minTermIfOutranked{2000};
    /// The shortest term that an owner ends because it can't keep up: loading the jobs makes every
    /// owner lag at first, and this bounds the number of hand-overs to three a minute.
    Millis minTermIfBehind{20000};
    /// How long an owner that couldn't keep up counts as such after the hand-over, as its lag
    /// vanishes with the owner's work.
    Millis behindDuration{60000};
    /// An owner hands over only to a candidate whose announcement was read at most this long ago.
    Millis maxAnnouncementAge{3000};
    /// If the time between two answers of the table is longer than this, this process had no
    /// contact with the table and may have missed renewals, so it waits for the owner's lease time
    /// again before a take-over. The value exceeds the duration of one long poll without changes,
    /// including its time limit.
    Millis maxContactGap{1600};
};

/// Ownership decides when this process may act as the owner, must renew its lease or may take over.
/// It does no I/O. A lease counts from the time before the renewal was sent, so that a slow answer
/// or a pause of the process never extends it.
class Ownership
{
public:
    Ownership(std::string self, OwnershipSettings settings, Instant now);

    enum class Step {
        None,
        TakeOver,
        Renew,
        HandOver, ///< A more capable candidate is alive: stop all work, then record the hand-over.
    };
    /// Returns the call to send now. Returns None until the result of the last call was passed to
    /// onTakeOverResult() or onRenewResult().
    Step nextStep(Instant now);
    /// Handles the term record and the version of the heartbeat's row, as read from the table.
    void onRecordsRead(const TermRecord &term, std::uint64_t heartbeatVersion, Instant now);
    /// Handles the result of a take-over. `version` is the version of the written rows and is used
    /// only if `isDone`; `sent` is the time at which the call was sent.
    void onTakeOverResult(bool isDone, std::uint64_t version, Instant sent, Instant now);
    /// Handles the result of a renewal. `isLost` means that the term's row has changed, so another
    /// process is the owner.
    void onRenewResult(bool isDone, bool isLost, std::uint64_t version, Instant sent, Instant now);
    /// Handles the announcement of a candidate; see CandidateList::onAnnouncement().
    void onAnnouncement(const std::string &name, const Candidate &candidate, std::uint64_t version,
                        bool isFresh, Instant now)
    {
        m_candidates.onAnnouncement(name, candidate, version, isFresh, now);
    }
    /// Sets the measured average lag of this process's event loop.
    void setLoopLag(Millis lag) { m_loopLag = lag; }
    /// Returns whether to announce this process in the table now.
    bool isAnnouncementDue(Instant now) const;
    void onAnnounced(Instant now) { m_candidacyTimer.onAnnounced(candidate(now), now); }
    /// Returns this process as a candidate.
    Candidate candidate(Instant now) const;
    /// Ends this process's term before the record of a hand-over is sent. It doesn't take over
    /// again before others had their chance.
    void relinquish(Instant now);
    /// Prevents further take-overs by this process, as before a planned stop.
    void resign() { m_isEligible = false; }

    bool isOwner() const { return m_isOwner; }
    /// Returns whether this process is the owner and may send commands.
    bool maySendCommands(Instant now) const
    {
        return m_isOwner && now < m_lastRenewal + m_settings.lease - m_settings.margin;
    }
    /// Returns whether this process is the owner and may extend leases of running tasks.
    bool mayExtendLeases(Instant now) const
    {
        return m_isOwner && now < m_lastRenewal + m_settings.leaseExtensionTime;
    }
    /// Returns the number of processes that have announced themselves.
    std::size_t candidateCount() const { return m_candidates.size(); }
    const TermRecord &term() const { return m_term; }
    std::uint64_t heartbeatVersion() const { return m_heartbeatVersion; }
    /// Returns whether the owner's term or heartbeat has changed within the lease time.
    bool isOwnerAlive(Instant now) const { return now - m_lastChange <= m_settings.lease; }

private:
    Instant takeOverTime(Instant now) const;
    bool isOutrankedAsCandidate(Instant now) const;
    bool isHandOverDue(Instant now) const;

    std::string m_self;
    OwnershipSettings m_settings;
    CandidateList m_candidates;
    CandidacyTimer m_candidacyTimer;
    TermRecord m_term;
    std::uint64_t m_heartbeatVersion = 0;
    bool m_wasRead = false;
    bool m_isOwner = false;
    bool m_isEligible = true;
    bool m_isCallInFlight = false;
    std::int64_t m_nextGeneration = 0; ///< The generation of the take-over in flight.
    /// When a change of the rows was last observed, or contact with the table was restored.
    Instant m_lastChange;
    Instant m_lastContact; ///< When the rows were last read.
    Instant m_lastRenewal; ///< When the last successful renewal was sent.
    Instant m_nextAttempt;
    Instant m_termStart; ///< When this process took over.
    Millis m_loopLag{0};
    Instant m_behindUntil{}; ///< Until when this process counts as behind after a hand-over.
};

} // namespace oleanderhall
